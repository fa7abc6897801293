//! Header names for the tests.

use policy::duration_from_secs;
use std::time::Duration;

use contract::KeyHash;
use gateway::dialect::{
    AttemptHeaders, BackoffHint, HeaderCodec, KvCopyRequest, RequestInfo, ResponseInfo, TokenCounts, UpstreamNews,
};
use gateway::head::{Head, RequestLine, StatusLine};

/// Headers with names for the tests.
pub(super) struct TestHeaders;

impl HeaderCodec for TestHeaders {
    fn asked(&self, head: &Head<RequestLine>) -> Result<RequestInfo, String> {
        let number = |name| head.get(name).and_then(|text| text.parse().ok());
        Ok(RequestInfo {
            id: head.get("id").unwrap_or_default().to_owned(),
            timeout: number("wait-ms").map(Duration::from_millis),
            key_hash: head.get("key").map(KeyHash::of),
            last_event: number("after"),
            began_as: head.get("began-as").map(str::to_owned),
            tokens: number("prompt")
                .zip(number("most"))
                .map(|(prompt, max_output)| TokenCounts { prompt, max_output }),
            ..RequestInfo::default()
        })
    }

    fn passes(&self, name: &[u8]) -> bool {
        !["key", "after", "wait-ms", "account"]
            .iter()
            .any(|own| name.eq_ignore_ascii_case(own.as_bytes()))
    }

    fn write(&self, out: &mut Vec<u8>, attempt: &AttemptHeaders<'_>) {
        let after = attempt
            .after
            .map(|after| format!("After: {after}\r\n"))
            .unwrap_or_default();
        let (left, upstream) = (attempt.remaining.as_millis(), attempt.incarnation);
        let copy = attempt
            .kv_copy
            .map(|copy| format!("Copy: {}/{}\r\n", copy.source, copy.handle));
        let copy = copy.unwrap_or_default();
        let headers = format!("Wait-Ms: {left}\r\nMeant: {upstream}\r\n{after}{copy}");
        out.extend_from_slice(headers.as_bytes());
    }

    fn write_copy(&self, out: &mut Vec<u8>, copying: &KvCopyRequest) {
        let KvCopyRequest {
            request_id,
            target,
            stop_stream,
            ..
        } = copying;
        let text = format!(
            "POST /copy HTTP/1.1\r\nOf: {request_id}\r\nTo: {target}\r\nLast: {stop_stream}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        out.extend_from_slice(text.as_bytes());
    }

    fn copied(&self, body: &[u8]) -> Option<String> {
        String::from_utf8(body.to_vec()).ok()
    }

    fn told(&self, head: &Head<StatusLine>) -> ResponseInfo {
        assert!(head.get("fatal").is_none(), "a header that the host fails on");
        ResponseInfo {
            id: head.get("id").map(str::to_owned),
            not_run: head.get("not-run").is_some(),
            wrong_incarnation: head.start.status == 421,
            signed: head.get("signed").is_some(),
            news: UpstreamNews {
                rate_limit: head.get("limit").and_then(|text| text.parse().ok()),
                backoff: head.get("pause").map(|text| match text.parse() {
                    Ok(seconds) => BackoffHint::Lasts(duration_from_secs(seconds)),
                    Err(_unreadable) => BackoffHint::Unreadable(text.to_owned()),
                }),
                leaving: head.get("leaving").is_some(),
                ..UpstreamNews::default()
            },
            idle_timeout: head
                .get("keep-s")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_secs),
        }
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}
