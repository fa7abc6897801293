//! Watches reclaim notices and the list of hosts, and passes on what they say.

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
use wire::entry::{EntryRpcClient, HostSignal, Sign};

/// Longest time from a notice at the cloud API until entry hosts that can be reached have heard of it.
pub const BOUND: Duration = Duration::from_secs(2);
/// Pause between two looks at the cloud API.
const STEP: Duration = Duration::from_millis(250);
/// Longest wait for each of the two parts of a look.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for an entry host.
const TELL: Duration = Duration::from_millis(500);
const _: () = assert!(STEP.as_millis() + 2 * TIMEOUT.as_millis() + TELL.as_millis() < BOUND.as_millis());

type Signs = Arc<Vec<HostSignal>>;

/// Watches until told to stop.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn run(
    node: &NodeId,
    cloud: SocketAddr,
    entries: &[SocketAddr],
    calls: &RpcRuntime,
    logger: &Logger,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let cloud = CloudClient::new(cloud, TIMEOUT);
    // Each entry host has a thread of its own: one that is cut off would otherwise hold up the news for all others
    // beyond the time in which they must have heard.
    let rings = entries.iter().map(|peer| tell(node, *peer, calls, logger));
    let rings: Vec<Sender<Signs>> = rings.collect::<std::io::Result<_>>()?;
    let mut before = Signs::default();
    while !stop.load(Ordering::Relaxed) {
        let signs = Arc::new(read(&cloud));
        for sign in signs.iter().filter(|sign| !before.iter().any(|old| same(old, sign))) {
            info!(logger, "host leaves"; "host" => %sign.host, "incarnation" => sign.incarnation, "sign" => %sign.sign);
        }
        // Signs are told again at every look, so that an entry host that was restarted or cut off hears them as well.
        for ring in rings.iter().filter(|_| !signs.is_empty()) {
            if let Err(TrySendError::Full(_)) = ring.try_send(Arc::clone(&signs)) {
                counter!("gentian_signs_untold_total").increment(1);
            }
        }
        before = signs;
        std::thread::sleep(STEP);
    }
    Ok(())
}

fn same(old: &HostSignal, new: &HostSignal) -> bool {
    old.host == new.host && old.incarnation == new.incarnation
}

fn read(cloud: &CloudClient) -> Vec<HostSignal> {
    let notices = cloud.notices().unwrap_or_else(|_unreachable| {
        counter!("gentian_cloud_failures_total").increment(1);
        Vec::new()
    });
    let listed = cloud.hosts().unwrap_or_default();
    let leaving = listed.into_iter().filter(|host| host.stage == "leaving").map(from_list);
    notices.into_iter().map(from_notice).chain(leaving).collect()
}

fn from_notice(notice: ReclaimNotice) -> HostSignal {
    HostSignal {
        host: notice.host,
        incarnation: notice.incarnation,
        sign: Sign::Notice {
            left_ms: notice.left_ms,
        },
    }
}

fn from_list(host: CloudHost) -> HostSignal {
    HostSignal {
        host: host.id,
        incarnation: host.incarnation,
        sign: Sign::Leaving,
    }
}

/// Starts the thread that tells one entry host; it ends with its ring.
fn tell(node: &NodeId, peer: SocketAddr, calls: &RpcRuntime, logger: &Logger) -> std::io::Result<Sender<Signs>> {
    let (ring, signs) = bounded(1);
    let (node, calls, logger) = (node.clone(), calls.with_timeout(TELL), logger.clone());
    std::thread::Builder::new()
        .name("tell".to_owned())
        .spawn(move || tell_all(&node, peer, &calls, &logger, &signs))?;
    Ok(ring)
}

fn tell_all(node: &NodeId, peer: SocketAddr, calls: &RpcRuntime, logger: &Logger, signs: &Receiver<Signs>) {
    let mut heard = true;
    let client = match calls.client(peer, Duration::ZERO) {
        Ok(client) => client,
        Err(error) => {
            warn!(logger, "entry host can't be told"; "error" => %error);
            return;
        }
    };
    for signs in signs {
        let message = Envelope::new(node, Revision::default(), signs.to_vec());
        match calls.wait(client.hosts(message)) {
            Ok(_) => heard = true,
            Err(error) => {
                counter!("gentian_signs_untold_total").increment(1);
                if std::mem::take(&mut heard) {
                    warn!(logger, "entry host was not told"; "peer" => %peer, "error" => %error);
                }
            }
        }
    }
}
