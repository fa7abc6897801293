//! Threads and futures that panic.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use slog::{Discard, Logger, o};
use telemetry::panics::{self, Panicked};

/// Guards against a thread whose work ends with its first panic while the process lives on.
#[test]
fn thread_restarts() {
    let runs = Arc::new(AtomicUsize::new(0));
    let (done, ended) = channel();
    let count = Arc::clone(&runs);
    let work = move || {
        let run = count.fetch_add(1, Ordering::SeqCst);
        assert!(run > 0, "the first run fails");
        done.send(run).expect("the test waits");
    };
    panics::spawn_restarting("work", &Logger::root(Discard, o!()), work).expect("a thread");
    assert_eq!(ended.recv_timeout(Duration::from_secs(10)), Ok(1));
    assert!(ended.recv().is_err(), "the thread ends with its work");
    assert_eq!(runs.load(Ordering::SeqCst), 2);
}

/// Guards against a panic that passes through to the task that waits.
#[test]
fn future_caught() {
    let poll = |future| {
        let mut future = Box::pin(panics::catch(future));
        future.as_mut().poll(&mut Context::from_waker(Waker::noop()))
    };
    let with = |number: u32| async move {
        assert!(number < 2, "{number} fails");
        number
    };
    assert_eq!(poll(with(1)), Poll::Ready(Ok(1)));
    assert_eq!(poll(with(2)), Poll::Ready(Err(Panicked)));
}
