//! Streams: whole events, passed on as they come, and gone on with at another upstream where the route allows it.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use slog::info;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

use contract::Repeatable;

use crate::attempt::Running;
use crate::events::{Event, EventError, Events};
use crate::exchange::{Fate, Opened, Piece};
use crate::gate::Gateway;
use crate::moving::{KvCopy, Mover};
use crate::request::{End, Request};
use crate::response_head::answer_head;

/// Silence before the first event after which a stream that can go on elsewhere does; an engine with a long queue may
/// take this long, and a second run would only lengthen it.
const FIRST: Duration = Duration::from_secs(3);
/// Silence between two events after which it does. Callers leave after two seconds or more.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Passes a stream on.
///
/// # Errors
/// Tells what is certain about the request when it breaks off before its first event.
pub(crate) async fn pass(
    request: &Request,
    gate: &Rc<Gateway>,
    out: &mut OwnedWriteHalf,
    opened: Opened,
    running: Running,
    tried: &mut Vec<String>,
) -> Result<End, Fate> {
    let status = opened.head.start.status;
    let mut events = Events::after(request.asked.last_event);
    let head = answer_head(&opened.head, None, request.keep);
    let mut source = Source::new(opened, running);
    let mut sink = Sink { out, head: Some(head) };
    loop {
        let broken = match forward(request, gate, &mut source, &mut events, &mut sink).await {
            Ok(()) => {
                source.done(gate);
                sink.end().await.map_err(|error| Fate::unknown(error.to_string()))?;
                return Ok(End::Passed { status });
            }
            Err(Stop::Caller(why)) => return Ok(End::Broken { why }),
            Err(Stop::Upstream(fate)) => fate,
        };
        let taken = source.mover.taken(request, gate, &events).await;
        if taken.is_none() {
            source.running.note_failed(gate);
        }
        // The upstream stops when its connection closes; it must have before another goes on.
        drop(source);
        if !request.progress.get().begun {
            return Err(broken);
        }
        let moved = match &taken {
            Some(taken) => go_on(request, gate, &events, taken, tried).await,
            None => None,
        };
        let next = match moved {
            Some(next) => Some(next),
            None => resume(request, gate, &events, tried).await,
        };
        match next {
            Some(next) => source = next,
            None => {
                return Ok(End::Broken {
                    why: format!("stream broke off: {broken}"),
                });
            }
        }
        events.restart();
    }
}

/// Where events come from.
struct Source {
    opened: Opened,
    running: Running,
    mover: Mover,
}

impl Source {
    fn new(opened: Opened, running: Running) -> Self {
        let mover = running.mover();
        Self { opened, running, mover }
    }

    fn done(self, gate: &Gateway) {
        let Self { opened, running, .. } = self;
        drop(running);
        let address = opened.connection.stream.peer_addr();
        if let (Ok(address), Some((connection, idle))) = (address, opened.reusable()) {
            gate.pool.borrow_mut().keep(address, connection, idle);
        }
    }
}

/// Where events go to.
struct Sink<'a> {
    out: &'a mut OwnedWriteHalf,
    /// The answer's head, until the first event.
    head: Option<Vec<u8>>,
}

impl Sink<'_> {
    async fn write(&mut self, events: &[Event]) -> std::io::Result<()> {
        let size: usize = events.iter().map(|event| event.bytes.len()).sum();
        let mut bytes = self.head.take().unwrap_or_default();
        bytes.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        for event in events {
            bytes.extend_from_slice(&event.bytes);
        }
        bytes.extend_from_slice(b"\r\n");
        self.out.write_all(&bytes).await
    }

    async fn end(&mut self) -> std::io::Result<()> {
        let mut bytes = self.head.take().unwrap_or_default();
        bytes.extend_from_slice(b"0\r\n\r\n");
        self.out.write_all(&bytes).await
    }
}

/// Why events no longer come or go.
enum Stop {
    Caller(String),
    Upstream(Fate),
}

/// Passes events on until the stream is whole.
async fn forward(
    request: &Request,
    gate: &Rc<Gateway>,
    source: &mut Source,
    events: &mut Events,
    sink: &mut Sink<'_>,
) -> Result<(), Stop> {
    let resumable = request.route.repeat == Repeatable::ResumableStream;
    loop {
        let begun = request.progress.get().begun;
        let patience = (resumable && request.progress.get().sends < request.route.attempts).then_some(if begun {
            PAUSE
        } else {
            FIRST
        });
        let piece = tokio::select! {
            piece = next_piece(&mut source.opened, patience) => piece,
            handed = source.mover.advance(request, gate, events), if begun => {
                if handed {
                    return Err(Stop::Upstream(Fate::unknown("handed over, and silent since")));
                }
                continue;
            }
        };
        match piece.map_err(Stop::Upstream)? {
            Piece::Bytes(bytes) => events.push(&bytes),
            Piece::End if events.is_torn() => {
                return Err(Stop::Upstream(Fate::unknown("ended within an event")));
            }
            Piece::End => return Ok(()),
        }
        source.running.hear();
        let (whole, bad) = take_whole(events);
        if !whole.is_empty() {
            request.count(gate);
            request.begin();
            source.running.begun();
            let written = sink.write(&whole).await;
            written.map_err(|error| Stop::Caller(error.to_string()))?;
        }
        if let Some(error) = bad {
            return Err(Stop::Upstream(Fate::unknown(error.to_string())));
        }
    }
}

/// Reads on in a stream; silence beyond the patience counts as its end.
async fn next_piece(opened: &mut Opened, patience: Option<Duration>) -> Result<Piece, Fate> {
    let Some(patience) = patience else {
        return opened.next().await;
    };
    let piece = timeout(patience, opened.next()).await;
    piece.unwrap_or_else(|_silent| Err(Fate::unknown("silent")))
}

/// Takes the whole events that have come; what was good before a bad one is passed on.
fn take_whole(events: &mut Events) -> (Vec<Event>, Option<EventError>) {
    let mut whole = Vec::new();
    loop {
        match events.take() {
            Ok(Some(event)) => whole.push(event),
            Ok(None) => return (whole, None),
            Err(error) => return (whole, Some(error)),
        }
    }
}

/// Goes on where the stream's KV cache was moved to, after the last event that was passed on.
async fn go_on(
    request: &Request,
    gate: &Rc<Gateway>,
    events: &Events,
    taken: &KvCopy,
    tried: &mut Vec<String>,
) -> Option<Source> {
    tried.push(taken.upstream.id.clone());
    match request.attempt(gate, &taken.upstream, events.last(), Some(taken)).await {
        Ok((opened, running)) if opened.is_sound() && opened.head.start.status == 200 => {
            counter!("gentian_gateway_streams_moved_total").increment(1);
            info!(gate.logger, "stream moved"; "request" => &request.asked.id, "upstream" => &taken.upstream.id,
                "from" => %taken.source, "after" => events.last());
            Some(Source::new(opened, running))
        }
        Ok((opened, _)) => {
            let fate = Fate::unknown(format!("answered {}", opened.head.start.status));
            request.note_fate(gate, &taken.upstream, &fate);
            None
        }
        Err(fate) => {
            request.note_fate(gate, &taken.upstream, &fate);
            None
        }
    }
}

/// Goes on at another upstream after the last event that was passed on.
async fn resume(request: &Request, gate: &Rc<Gateway>, events: &Events, tried: &mut Vec<String>) -> Option<Source> {
    if request.route.repeat != Repeatable::ResumableStream {
        return None;
    }
    loop {
        if request.progress.get().sends >= request.route.attempts {
            return None;
        }
        let chosen = request.choose(gate, tried).ok()?;
        if !gate.may_repeat(&request.service) {
            return None;
        }
        tried.push(chosen.id.clone());
        match request.attempt(gate, &chosen, events.last(), None).await {
            Ok((opened, running)) if opened.is_sound() && opened.head.start.status == 200 => {
                counter!("gentian_gateway_streams_resumed_total").increment(1);
                info!(gate.logger, "stream resumed"; "request" => &request.asked.id, "upstream" => &chosen.id,
                    "after" => events.last());
                return Some(Source::new(opened, running));
            }
            Ok((opened, _)) => {
                let fate = Fate::unknown(format!("answered {}", opened.head.start.status));
                request.note_fate(gate, &chosen, &fate);
            }
            Err(fate) => request.note_fate(gate, &chosen, &fate),
        }
    }
}
