//! Tokens that an engine had to compute again are counted by customer and cause.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};

use common::client::{self, Events};
use common::{Host, config, engine, fake};
use telemetry::scrape::MetricsExporter;

/// An engine dies after two tokens, and the next one has almost none of the prompt in its cache. Recomputed tokens cost
/// the customer time, so an operator must see how many there were, whose and why.
#[test]
fn engine_death_counted() {
    let scrape = MetricsExporter::install().unwrap();
    let requests = AtomicUsize::new(0);
    let address = fake::serve(move |_, stream| {
        fake::begin(&stream);
        if requests.fetch_add(1, Ordering::SeqCst) == 0 {
            fake::token(&stream, "one ");
            fake::token(&stream, "two ");
            return;
        }
        fake::token(&stream, "three ");
        let usage = r#"data: {"choices":[],"usage":{"prompt_tokens":6,"completion_tokens":1,"cached_tokens":1}}"#;
        std::io::Write::write_all(&mut &stream, format!("{usage}\n\n").as_bytes()).unwrap();
        fake::done(&stream);
    });
    let host = Host::start(config([engine("a", address)]));
    let mut events: Events = client::stream(host.address, "count up to three", 3);
    assert_eq!(events.rest(), ("one two three ".to_owned(), true));
    // Four prompt words and two tokens, one of them cached.
    let line = "gentian_recomputed_tokens_total{customer=\"tan-seng-huat\",cause=\"died\"} 5";
    let text = scrape.render();
    assert!(text.contains(line), "{text}");
}
