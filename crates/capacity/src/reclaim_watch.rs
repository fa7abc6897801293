//! Polls the cloud API for hosts that are being reclaimed, and signals them to every entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::{NodeId, Revision};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use metrics::counter;
use slog::{Logger, info, warn};
use upstream::cloud::{CloudClient, CloudHost, ReclaimNotice};
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::entry::{EntryRpcClient, HostSignal, HostSignalKind};

/// Longest time from a notice at the cloud API until every reachable entry host has received it.
pub const NOTICE_DEADLINE: Duration = Duration::from_secs(2);
/// Pause between two polls of the cloud API.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for each of the two calls of a poll.
const CLOUD_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for the answer of an entry host.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(500);
const _: () = assert!(
    POLL_INTERVAL.as_millis() + 2 * CLOUD_TIMEOUT.as_millis() + ENTRY_TIMEOUT.as_millis() < NOTICE_DEADLINE.as_millis()
);

/// The signals of one poll, shared by the threads of all entry hosts.
type Signals = Arc<Vec<HostSignal>>;

/// Polls and notifies until `stop` is set.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn run(
    node: &NodeId,
    cloud: SocketAddr,
    entries: &[SocketAddr],
    rpc: &RpcRuntime,
    logger: &Logger,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let cloud = CloudClient::new(cloud, CLOUD_TIMEOUT);
    // Each entry host has its own thread: otherwise an unreachable one would delay the signals to all others past the
    // deadline.
    let senders = entries.iter().map(|peer| spawn_notifier(node, *peer, rpc, logger));
    let senders: Vec<Sender<Signals>> = senders.collect::<std::io::Result<_>>()?;
    let mut previous = Signals::default();
    while !stop.load(Ordering::Relaxed) {
        let signals = Arc::new(read_signals(&cloud));
        for signal in signals
            .iter()
            .filter(|signal| !previous.iter().any(|other| same_host(other, signal)))
        {
            info!(
                logger, "host is being reclaimed";
                "host" => %signal.host, "incarnation" => signal.incarnation, "sign" => %signal.sign
            );
        }
        // Signals are repeated at every poll, so that an entry host that was restarted or unreachable receives them
        // too.
        for sender in senders.iter().filter(|_| !signals.is_empty()) {
            if let Err(TrySendError::Full(_)) = sender.try_send(Arc::clone(&signals)) {
                counter!("gentian_signs_untold_total").increment(1);
            }
        }
        previous = signals;
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Returns whether two signals are about the same incarnation of a host.
fn same_host(a: &HostSignal, b: &HostSignal) -> bool {
    a.host == b.host && a.incarnation == b.incarnation
}

/// Reads notices and leaving hosts; a call that fails counts as an empty answer until the next poll.
fn read_signals(cloud: &CloudClient) -> Vec<HostSignal> {
    let notices = cloud.notices().unwrap_or_else(|_unreachable| {
        counter!("gentian_cloud_failures_total").increment(1);
        Vec::new()
    });
    let listed = cloud.hosts().unwrap_or_default();
    let leaving = listed
        .into_iter()
        .filter(|host| host.stage == "leaving")
        .map(leaving_signal);
    notices.into_iter().map(notice_signal).chain(leaving).collect()
}

fn notice_signal(notice: ReclaimNotice) -> HostSignal {
    HostSignal {
        host: notice.host,
        incarnation: notice.incarnation,
        sign: HostSignalKind::Notice {
            left_ms: notice.left_ms,
        },
    }
}

fn leaving_signal(host: CloudHost) -> HostSignal {
    HostSignal {
        host: host.id,
        incarnation: host.incarnation,
        sign: HostSignalKind::Leaving,
    }
}

/// Starts the thread that notifies one entry host; it ends when the returned sender is dropped.
fn spawn_notifier(
    node: &NodeId,
    peer: SocketAddr,
    rpc: &RpcRuntime,
    logger: &Logger,
) -> std::io::Result<Sender<Signals>> {
    let (sender, signals) = bounded(1);
    let (node, rpc, logger) = (node.clone(), rpc.with_timeout(ENTRY_TIMEOUT), logger.clone());
    std::thread::Builder::new()
        .name("tell".to_owned())
        .spawn(move || notify_entry(&node, peer, &rpc, &logger, &signals))?;
    Ok(sender)
}

/// Sends signals to one entry host as they come, and logs the first failure of each outage.
fn notify_entry(node: &NodeId, peer: SocketAddr, rpc: &RpcRuntime, logger: &Logger, signals: &Receiver<Signals>) {
    let mut reachable = true;
    let client = match rpc.client(peer, Duration::ZERO) {
        Ok(client) => client,
        Err(error) => {
            warn!(logger, "no RPC client for the entry host; it gets no reclaim signals"; "error" => %error);
            return;
        }
    };
    for signals in signals {
        let message = Envelope::new(node, Revision::default(), signals.to_vec());
        match rpc.wait(client.hosts(message)) {
            Ok(_) => reachable = true,
            Err(error) => {
                counter!("gentian_signs_untold_total").increment(1);
                if std::mem::take(&mut reachable) {
                    warn!(logger, "entry host did not take the reclaim signals"; "peer" => %peer, "error" => %error);
                }
            }
        }
    }
}
