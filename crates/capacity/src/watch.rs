//! Watches reclaim notices and the list of hosts, and passes on what they say.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use contract::{NodeId, Revision};
use metrics::counter;
use slog::{Logger, info, warn};
use upstream::cloud::{CloudClient, CloudHost, Notice};
use wire::Envelope;
use wire::client::{CallError, Calls};
use wire::entry::{EntryRpcClient, HostSign, Sign};

/// Pause between two looks at the cloud API.
const STEP: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_secs(1);

/// Watches until told to stop.
pub fn run(
    node: &NodeId,
    cloud: SocketAddr,
    entries: &[SocketAddr],
    calls: &Calls,
    logger: &Logger,
    stop: &AtomicBool,
) {
    let cloud = CloudClient::new(cloud, TIMEOUT);
    let mut before = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let signs = read(&cloud);
        for sign in signs.iter().filter(|sign| !before.iter().any(|old| same(old, sign))) {
            info!(logger, "host leaves"; "host" => %sign.host, "incarnation" => sign.incarnation, "sign" => %sign.sign);
        }
        // Signs are told again at every look, so that an entry host that was restarted or cut off hears them as well.
        if !signs.is_empty() {
            tell(node, entries, calls, &signs, logger);
        }
        before = signs;
        std::thread::sleep(STEP);
    }
}

fn same(old: &HostSign, new: &HostSign) -> bool {
    old.host == new.host && old.incarnation == new.incarnation
}

fn read(cloud: &CloudClient) -> Vec<HostSign> {
    let notices = cloud.notices().unwrap_or_else(|_unreachable| {
        counter!("gentian_cloud_failures_total").increment(1);
        Vec::new()
    });
    let listed = cloud.hosts().unwrap_or_default();
    let leaving = listed.into_iter().filter(|host| host.stage == "leaving").map(from_list);
    notices.into_iter().map(from_notice).chain(leaving).collect()
}

fn from_notice(notice: Notice) -> HostSign {
    HostSign {
        host: notice.host,
        incarnation: notice.incarnation,
        sign: Sign::Notice {
            left_ms: notice.left_ms,
        },
    }
}

fn from_list(host: CloudHost) -> HostSign {
    HostSign {
        host: host.id,
        incarnation: host.incarnation,
        sign: Sign::Leaving,
    }
}

fn tell(node: &NodeId, entries: &[SocketAddr], calls: &Calls, signs: &[HostSign], logger: &Logger) {
    for peer in entries {
        let sent = calls.client(*peer, Duration::ZERO).and_then(|client| {
            let message = Envelope::new(node, Revision::default(), signs.to_vec());
            calls.wait(client.hosts(message)).map_err(|source| CallError {
                step: "tell hosts",
                peer: *peer,
                source,
            })
        });
        if let Err(error) = sent {
            counter!("gentian_signs_untold_total").increment(1);
            warn!(logger, "entry host was not told"; "error" => %error);
        }
    }
}
