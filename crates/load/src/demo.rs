//! Sends one request of each kind and checks the answers.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use serde_json::{Value, json};
use ureq::Agent;

use crate::cli::Demo;

const COUNTER_KEY: &str = "demo-key-counter";
const GATE_KEY: &str = "demo-key-gate";
const ANSWER_TOKENS: u64 = 24;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the requests and prints a line for each answer.
///
/// # Errors
/// Fails at the first wrong answer.
pub fn run(options: &Demo) -> anyhow::Result<()> {
    let config = Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .proxy(None)
        .build();
    let agent: Agent = config.into();
    let prompt = "a septum ring in rose gold with a small opal for a daith piercing healed last spring";
    consultation(&agent, options.entry, prompt)?;
    lookup(&agent, options.second)?;
    let key = format!("deposit-{}", std::process::id());
    let first = deposit(&agent, options.entry, &key)?;
    println!("deposit        {key}: {first}");
    let retried = deposit(&agent, options.second, &key)?;
    println!("deposit again  {key}: {retried}");
    ensure!(first == retried, "the retried deposit got a different answer");
    ensure!(first["times"] == 1, "the deposit did not run exactly once");
    Ok(())
}

fn consultation(agent: &Agent, entry: SocketAddr, prompt: &str) -> anyhow::Result<()> {
    let body = json!({"model": "counter-1", "stream": true, "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": prompt}]});
    let started = Instant::now();
    let answer = agent
        .post(format!("http://{entry}/v1/chat/completions"))
        .header("Authorization", format!("Bearer {COUNTER_KEY}"))
        .send_json(&body)
        .context("consultation")?;
    let mut first = None;
    let mut text = String::new();
    let mut done = false;
    for line in BufReader::new(answer.into_body().into_reader()).lines() {
        let line = line.context("consultation")?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        done = data == "[DONE]";
        if done {
            break;
        }
        let event: Value = serde_json::from_str(data).context("consultation")?;
        if let Some(token) = event["choices"][0]["delta"]["content"].as_str() {
            first.get_or_insert_with(|| started.elapsed());
            text.push_str(token);
        }
    }
    let expected = expected_text(prompt);
    ensure!(
        done && text == expected,
        "unexpected answer to the consultation: {text}"
    );
    let (first, whole) = (first.unwrap_or_default().as_millis(), started.elapsed().as_millis());
    println!(
        "consultation   {ANSWER_TOKENS} tokens, first after {first} ms, whole after {whole} ms: {}…",
        &text[..24]
    );
    Ok(())
}

fn expected_text(prompt: &str) -> String {
    let messages = [("user".to_owned(), prompt.to_owned())];
    let (prompt_id, start) = standin::engine::continuation(&messages, false);
    (start..ANSWER_TOKENS)
        .map(|position| standin::engine::token(prompt_id, position))
        .collect()
}

fn lookup(agent: &Agent, entry: SocketAddr) -> anyhow::Result<()> {
    let started = Instant::now();
    let answer: Value = agent
        .get(format!("http://{entry}/services/registration/seats/tent-4"))
        .header("Authorization", format!("Bearer {GATE_KEY}"))
        .call()
        .context("seat lookup")?
        .body_mut()
        .read_json()
        .context("seat lookup")?;
    ensure!(
        answer["path"] == "/seats/tent-4",
        "unexpected answer to the lookup: {answer}"
    );
    println!("seat lookup    {answer} after {} ms", started.elapsed().as_millis());
    Ok(())
}

fn deposit(agent: &Agent, entry: SocketAddr, key: &str) -> anyhow::Result<Value> {
    agent
        .post(format!("http://{entry}/services/till/deposits"))
        .header("Authorization", format!("Bearer {COUNTER_KEY}"))
        .header("Idempotency-Key", key)
        .send_json(json!({"amount": 50}))
        .context("deposit")?
        .body_mut()
        .read_json()
        .context("deposit")
}
