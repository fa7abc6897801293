//! `gentianctl request`: shows one request and explains its routing, as its entry host remembers it.

use contract::RequestId;
use serde_json::{Value, json};
use wire::entry::{EntryRpcClient, Journal, JournalRequest};

use crate::cli::RequestCommand;
use crate::entries::{Answers, EntryClients};
use crate::exit::{NotFound, Output};

/// Hint for a request that no entry host knows.
const NOT_FOUND_HINT: &str = "entry hosts forget ended requests after a while and at a restart";

/// Runs a subcommand of `gentianctl request`.
///
/// # Errors
/// Fails when no entry host knows the request.
pub fn run(entries: &EntryClients, command: &RequestCommand, json: bool) -> anyhow::Result<Output> {
    match command {
        RequestCommand::Show(show) => self::show(entries, &show.id, json),
        RequestCommand::Explain(explain) => self::explain(entries, &explain.id, json),
    }
}

fn show(entries: &EntryClients, id: &str, json: bool) -> anyhow::Result<Output> {
    let request = JournalRequest {
        request: RequestId::from(id),
        from: 0,
    };
    let answers = entries.call_all("read journal", &request, |client, message| async move {
        client.journal(message).await
    });
    let (peer, journal, notes) = first_found(answers, id)?;
    // The text of the answer belongs to the caller and isn't shown to operators.
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

fn explain(entries: &EntryClients, id: &str, json: bool) -> anyhow::Result<Output> {
    let request = RequestId::from(id);
    let answers = entries.call_all("explain request", &request, |client, message| async move {
        client.explain(message).await
    });
    let (peer, attempts, notes) = first_found(answers, id)?;
    let text = if json {
        serde_json::to_string_pretty(&json!({"request": id, "entry": peer, "attempts": attempts}))?
    } else {
        let mut lines = vec![format!("request {id} at entry host {peer}")];
        for (index, attempt) in attempts.as_array().into_iter().flatten().enumerate() {
            lines.extend(attempt_lines(index + 1, attempt));
        }
        lines.join("\n")
    };
    Ok(Output::partial(text, notes))
}

/// Renders the record of one attempt: the chosen upstream, then every candidate with its cost or why it was excluded.
fn attempt_lines(number: usize, attempt: &Value) -> Vec<String> {
    let chosen = attempt["chosen"].as_str().unwrap_or("?");
    let (routing, cached) = (&attempt["routing"], &attempt["cached"]);
    let mut lines = vec![format!(
        "attempt {number}: {chosen}, chosen by {}, {cached} tokens believed cached there",
        routing.as_str().unwrap_or("?")
    )];
    for weighed in attempt["weighed"].as_array().into_iter().flatten() {
        let upstream = weighed["upstream"].as_str().unwrap_or("?");
        let mark = if upstream == chosen { "*" } else { " " };
        let mut parts = Vec::new();
        for (name, value) in weighed.as_object().into_iter().flatten() {
            if name != "upstream" && !value.is_null() {
                parts.push(format!("{name} {}", render(value)));
            }
        }
        lines.push(format!("  {mark} {upstream:<20} {}", parts.join(", ")));
    }
    lines
}

/// Renders a value as text: numbers with one decimal at most, and objects in parentheses.
fn render(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) => number.as_f64().map_or_else(
            || number.to_string(),
            |number| format!("{number:.1}").trim_end_matches(".0").to_owned(),
        ),
        Value::Object(parts) => {
            let named = parts.iter().map(|(name, value)| format!("{name} {}", render(value)));
            format!("({})", named.collect::<Vec<_>>().join(", "))
        }
        other => other.to_string(),
    }
}

/// Returns the first entry host that knows a request, with its answer.
fn first_found<T>(answers: Answers<Option<T>>, id: &str) -> anyhow::Result<(std::net::SocketAddr, T, Vec<String>)> {
    let Answers { received, notes } = answers;
    let found_item = received
        .into_iter()
        .find_map(|(peer, item)| item.map(|item| (peer, item)));
    let Some((peer, item)) = found_item else {
        for note in &notes {
            eprintln!("gentianctl: {note}");
        }
        return Err(NotFound {
            item: format!("request {id}"),
            hint: NOT_FOUND_HINT,
        }
        .into());
    };
    Ok((peer, item, notes))
}
