//! Listing the members of the group, and replacing a member whose disk is lost.

use contract::NodeId;
use rouille::{Request, Response};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::oneshot;

use super::{Admin, answer, json_body, problem};
use crate::core::{MemberList, ReplaceError, ReplaceMember, StateRequest};
use crate::raft::ChangeError;
use wire::state::Unavailable;

/// Body of a replacement request.
#[derive(Debug, Deserialize)]
#[serde(expecting = "struct Asked")]
struct ReplaceBody {
    /// Name of the member whose disk is lost.
    old: NodeId,
    /// Name of the node that replaces it; the same name if absent.
    new: Option<NodeId>,
}

impl Admin {
    pub(super) fn members(&self) -> Response {
        let (reply, answer) = oneshot::channel();
        let sent = self.requests.try_send(StateRequest::Members(reply));
        match sent.ok().and_then(|()| answer.blocking_recv().ok()) {
            // A node with a blank disk knows no members; the operator would take the empty list for the group's.
            Some(list) if list.members.is_empty() => problem(503, "this node's disk is blank, ask another node"),
            Some(list) => Response::json(&members_json(&list)),
            None => problem(503, "the node is stopping or overloaded"),
        }
    }

    pub(super) fn replace(&self, request: &Request) -> Response {
        let asked: ReplaceBody = match json_body(request) {
            Ok(asked) => asked,
            Err(refusal) => return refusal,
        };
        let new = asked.new.unwrap_or_else(|| asked.old.clone());
        let (reply, answer) = oneshot::channel();
        let sent = self
            .requests
            .try_send(StateRequest::Replace(ReplaceMember { old: asked.old, new }, reply));
        match sent.ok().and_then(|()| answer.blocking_recv().ok()) {
            Some(Ok(replaced)) => Response::json(&json!({"replacing": replaced})),
            Some(Err(ReplaceError::Change(ChangeError::NotLeading))) => {
                answer::unavailable(&Unavailable::NotLeader { leader: None })
            }
            Some(Err(error @ ReplaceError::Change(ChangeError::InProgress))) => problem(503, &error.to_string()),
            Some(Err(error)) => problem(422, &error.to_string()),
            None => problem(503, "the node is stopping or overloaded"),
        }
    }
}

fn members_json(list: &MemberList) -> serde_json::Value {
    let members: Vec<_> = list
        .members
        .0
        .iter()
        .map(|(id, member)| {
            json!({
                "id": id.to_string(),
                "node": member.node,
                "address": member.address,
                "votes": member.votes,
                "leads": list.leader == Some(*id),
                "replaces": member.replaces.map(|old| old.to_string()),
            })
        })
        .collect();
    let blank: Vec<_> = list
        .blank
        .iter()
        .map(|(id, node, address)| json!({"id": id.to_string(), "node": node, "address": address}))
        .collect();
    json!({"item": {"members": members, "blank": blank}})
}
