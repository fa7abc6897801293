//! Panics: reported by log line and counter, and kept from ending more than what panicked.
//!
//! A panic ends its thread or task while the process lives on, and what that thread did would be missing for good.

use std::any::Any;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::pin::pin;
use std::task::Poll;
use std::thread;
use std::time::Duration;

use derive_more::{Display, Error};
use metrics::counter;
use slog::{Logger, error};

/// Pause before the work of a thread that panicked begins again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// A future panicked; the log says where.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("panicked")]
pub struct Panicked;

/// Has every panic of the process logged and counted, beside the message on standard error, which alone is written if the
/// process ends with it.
pub fn report(logger: &Logger) {
    let logger = logger.clone();
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info: &PanicHookInfo<'_>| {
        print(info);
        counter!("gentian_panics_total").increment(1);
        error!(logger, "panicked"; "thread" => thread::current().name(),
            "at" => info.location().map(ToString::to_string), "why" => message(info.payload()));
    }));
}

fn message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| payload.downcast_ref::<String>().cloned())
        .unwrap_or_default()
}

/// Starts a thread whose work begins anew after a panic; the thread ends when the work returns.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn spawn_restarting(name: &str, logger: &Logger, mut work: impl FnMut() + Send + 'static) -> std::io::Result<()> {
    let logger = logger.clone();
    let run = move || {
        while catch_unwind(AssertUnwindSafe(&mut work)).is_err() {
            error!(logger, "thread begins anew"; "thread" => thread::current().name());
            thread::sleep(RESTART_PAUSE);
        }
    };
    thread::Builder::new().name(name.to_owned()).spawn(run).map(drop)
}

/// Runs a future, which alone ends if it panics.
///
/// # Errors
/// Fails if it panics.
pub async fn catch<F: Future>(future: F) -> Result<F::Output, Panicked> {
    let mut future = pin!(future);
    std::future::poll_fn(|context| {
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context)));
        polled.map_or(Poll::Ready(Err(Panicked)), |poll| poll.map(Ok))
    })
    .await
}
