//! `gentianctl request`.

use contract::RequestId;
use serde_json::{Value, json};
use wire::entry::{EntryRpcClient, Journal, JournalRequest};

use crate::cli::RequestCommand;
use crate::entries::{Answers, Entries};
use crate::exit::{Absent, Output};

const NEXT: &str = "entry hosts forget ended requests after a while and at a restart";

/// Carries out a command.
///
/// # Errors
/// Fails when no entry host knows the request.
pub fn run(entries: &Entries, command: &RequestCommand, json: bool) -> anyhow::Result<Output> {
    match command {
        RequestCommand::Show(show) => self::show(entries, &show.id, json),
        RequestCommand::Explain(explain) => self::explain(entries, &explain.id, json),
    }
}

fn show(entries: &Entries, id: &str, json: bool) -> anyhow::Result<Output> {
    let ask = JournalRequest {
        request: RequestId::from(id),
        from: 0,
    };
    let answers = entries.ask(
        "read journal",
        &ask,
        |client, ask| async move { client.journal(ask).await },
    );
    let (peer, journal, notes) = found(answers, id)?;
    // The answer itself belongs to the caller and is not shown to operators.
    let Journal {
        owner, tokens, done, ..
    } = journal;
    let tokens = tokens.len();
    let text = if json {
        serde_json::to_string_pretty(
            &json!({"request": id, "entry": peer, "owner": owner, "tokens": tokens, "whole": done}),
        )?
    } else {
        let stage = if done { "whole" } else { "not whole" };
        format!("request  {id}\nentry    {peer}\nowner    {owner}\ntokens   {tokens}\nanswer   {stage}")
    };
    Ok(Output::partial(text, notes))
}

fn explain(entries: &Entries, id: &str, json: bool) -> anyhow::Result<Output> {
    let ask = RequestId::from(id);
    let answers = entries.ask("explain request", &ask, |client, ask| async move {
        client.explain(ask).await
    });
    let (peer, attempts, notes) = found(answers, id)?;
    let text = if json {
        serde_json::to_string_pretty(&json!({"request": id, "entry": peer, "attempts": attempts}))?
    } else {
        let mut lines = vec![format!("request {id} at entry host {peer}")];
        for (at, attempt) in attempts.as_array().into_iter().flatten().enumerate() {
            lines.extend(attempt_lines(at + 1, attempt));
        }
        lines.join("\n")
    };
    Ok(Output::partial(text, notes))
}

/// Renders the record of one attempt: the chosen upstream, then every other with its cost or why it was barred.
fn attempt_lines(at: usize, attempt: &Value) -> Vec<String> {
    let chosen = attempt["chosen"].as_str().unwrap_or("?");
    let (routing, cached) = (&attempt["routing"], &attempt["cached"]);
    let mut lines = vec![format!(
        "attempt {at}: {chosen}, chosen by {}, {cached} tokens believed cached there",
        routing.as_str().unwrap_or("?")
    )];
    for weighed in attempt["weighed"].as_array().into_iter().flatten() {
        let upstream = weighed["upstream"].as_str().unwrap_or("?");
        let mark = if upstream == chosen { "*" } else { " " };
        let mut parts = Vec::new();
        for (name, value) in weighed.as_object().into_iter().flatten() {
            if name != "upstream" && !value.is_null() {
                parts.push(format!("{name} {}", plain(value)));
            }
        }
        lines.push(format!("  {mark} {upstream:<20} {}", parts.join(", ")));
    }
    lines
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => number.as_f64().map_or_else(
            || number.to_string(),
            |number| format!("{number:.1}").trim_end_matches(".0").to_owned(),
        ),
        Value::Object(parts) => {
            let named = parts.iter().map(|(name, value)| format!("{name} {}", plain(value)));
            format!("({})", named.collect::<Vec<_>>().join(", "))
        }
        other => other.to_string(),
    }
}

fn found<T>(answers: Answers<Option<T>>, id: &str) -> anyhow::Result<(std::net::SocketAddr, T, Vec<String>)> {
    let Answers { good, notes } = answers;
    let hit = good.into_iter().find_map(|(peer, item)| item.map(|item| (peer, item)));
    let Some((peer, item)) = hit else {
        for note in &notes {
            eprintln!("gentianctl: {note}");
        }
        return Err(Absent {
            what: format!("request {id}"),
            next: NEXT,
        }
        .into());
    };
    Ok((peer, item, notes))
}
