//! The cloud API: a list of hosts that lags, and reclaim notices.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::cli::CloudOptions;
use crate::http;

/// Threads that answer.
const THREADS: usize = 16;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Host {
    id: String,
    #[serde(default)]
    incarnation: u64,
    zone: String,
    class: String,
    #[serde(default = "serving")]
    stage: String,
}

#[derive(Debug, Deserialize)]
struct Reclaim {
    zone: Option<String>,
    host: Option<String>,
    notice_ms: u64,
}

#[derive(Debug, Default)]
struct Cloud {
    hosts: BTreeMap<String, Host>,
    notices: BTreeMap<String, (u64, Instant)>,
    shown: Vec<Host>,
    shown_at: Option<Instant>,
}

/// Serves until the process is told to stop.
///
/// # Errors
/// Fails when the address can't be listened on.
pub fn serve(options: &CloudOptions) -> anyhow::Result<()> {
    let cloud = Arc::new(Mutex::new(Cloud::default()));
    let lag = Duration::from_millis(options.lag_ms);
    http::serve(options.listen, THREADS, move |request| answer(&cloud, lag, request))
}

fn answer(cloud: &Mutex<Cloud>, lag: Duration, request: &Request) -> Response {
    let mut cloud = cloud.lock();
    match (request.method(), request.url().as_str()) {
        ("GET", "/v1/hosts") => Response::json(&cloud.list(lag)),
        ("GET", "/v1/notices") => Response::json(&cloud.open_notices()),
        ("POST", "/v1/hosts") => http::body::<Host>(request).map_or_else(|refusal| refusal, |host| cloud.start(host)),
        ("POST", "/_standin/reclaim") => {
            http::body::<Reclaim>(request).map_or_else(|refusal| refusal, |reclaim| cloud.reclaim(&reclaim))
        }
        _ => Response::empty_404(),
    }
}

impl Cloud {
    fn list(&mut self, lag: Duration) -> Vec<Host> {
        if self.shown_at.is_none_or(|at| at.elapsed() >= lag) {
            self.shown = self.hosts.values().cloned().collect();
            self.shown_at = Some(Instant::now());
        }
        self.shown.clone()
    }

    fn start(&mut self, mut host: Host) -> Response {
        host.incarnation = self
            .hosts
            .get(&host.id)
            .map_or(host.incarnation, |before| before.incarnation + 1);
        self.notices.remove(&host.id);
        self.hosts.insert(host.id.clone(), host.clone());
        Response::json(&host).with_status_code(201)
    }

    fn reclaim(&mut self, reclaim: &Reclaim) -> Response {
        let gone_at = Instant::now() + Duration::from_millis(reclaim.notice_ms);
        let hit = |host: &Host| Some(&host.zone) == reclaim.zone.as_ref() || Some(&host.id) == reclaim.host.as_ref();
        let mut count = 0;
        for host in self.hosts.values_mut().filter(|host| hit(host)) {
            "leaving".clone_into(&mut host.stage);
            self.notices.insert(host.id.clone(), (host.incarnation, gone_at));
            count += 1;
        }
        Response::json(&json!({"reclaimed": count}))
    }

    fn open_notices(&self) -> Vec<serde_json::Value> {
        let open = self.notices.iter().map(|(id, (incarnation, gone_at))| {
            let left = gone_at.saturating_duration_since(Instant::now());
            json!({"host": id, "incarnation": incarnation, "left_ms": left.as_millis() as u64})
        });
        open.collect()
    }
}

fn serving() -> String {
    "serving".to_owned()
}
