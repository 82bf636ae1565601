//! What an operator's call stored is known to the next call at the same router, also when the
//! watch of the key-value service reports it later.

use std::net::SocketAddr;

use runrail::logic::router::{
    Keys, OperatorCall, OperatorReply, RouterParams, RouterState, StoreCall, StoreEntry,
    StoreReply, StoreResult,
};
use runrail::logic::{step, Effect, Event, Node};
use runrail::types::{Approval, BundleBody, InstanceId, ModelSpec};

/// Number of each call of an operator; only one is in flight.
const JOB: u64 = 1;

/// A router whose watch reports nothing.
struct Router {
    node: Node,
}

impl Router {
    fn new() -> Self {
        let addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let state = RouterState::new(
            InstanceId::new("r1"),
            addr,
            "h",
            10,
            RouterParams::default(),
        );
        let mut router = Self {
            node: Node::Router(Box::new(state)),
        };
        let effects = router.feed(Event::Tick);
        for (call, op) in store_calls(&effects) {
            if matches!(op, StoreCall::Read { prefix: true, .. }) {
                let entries = Vec::new();
                let result = Ok(StoreReply::Entries {
                    revision: 1,
                    entries,
                });
                router.feed(Event::Store { call, result });
            }
        }
        router
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        step(&mut self.node, 1, event)
    }

    /// Makes an operator's call; `store` gives the result of the write that it needs.
    fn operate(&mut self, call: OperatorCall, store: impl Fn() -> StoreResult) -> OperatorReply {
        let mut effects = self.feed(Event::Operator { job: JOB, call });
        for (call, _) in store_calls(&effects) {
            let result = store();
            effects.extend(self.feed(Event::Store { call, result }));
        }
        let reply = effects.into_iter().find_map(|e| match e {
            Effect::Reply { reply, .. } => Some(reply),
            _ => None,
        });
        reply.expect("a reply")
    }

    fn submit(&mut self) -> OperatorReply {
        let model = serde_json::json!({
            "name": "m", "version": "1", "instances": 4, "per_hall": 1, "load_ms": 1000
        });
        let model: ModelSpec = serde_json::from_value(model).expect("a model");
        let body = Box::new(BundleBody {
            models: vec![model],
            ..BundleBody::default()
        });
        let by = "anna".to_string();
        self.operate(OperatorCall::Submit { by, body }, stored)
    }

    fn approve(&mut self, by: &str, store: impl Fn() -> StoreResult) -> OperatorReply {
        let by = by.to_string();
        self.operate(OperatorCall::Approve { by, number: 1 }, store)
    }

    /// The operators who approved bundles, as the router lists them.
    fn approvers(&mut self) -> Vec<String> {
        match self.operate(OperatorCall::Bundles, stored) {
            OperatorReply::Bundles { approvals, .. } => {
                approvals.into_iter().map(|a| a.by).collect()
            }
            other => panic!("{other:?}"),
        }
    }
}

fn store_calls(effects: &[Effect]) -> Vec<(u64, StoreCall)> {
    let call = |e: &Effect| match e {
        Effect::Store { call, op } => Some((*call, op.clone())),
        _ => None,
    };
    effects.iter().filter_map(call).collect()
}

fn stored() -> StoreResult {
    Ok(StoreReply::Transaction {
        done: true,
        revision: 2,
        entries: Vec::new(),
    })
}

#[test]
fn a_submitted_bundle_can_be_approved_at_once() {
    let mut router = Router::new();
    assert_eq!(router.submit(), OperatorReply::Submitted(1));
    let own = router.approve("anna", stored);
    assert!(
        matches!(&own, OperatorReply::Problem(p) if p.detail.contains("another operator")),
        "{own:?}"
    );
    assert_eq!(router.approve("ben", stored), OperatorReply::Approved(1));
    assert_eq!(router.approvers(), ["ben"]);
}

#[test]
fn an_approval_that_another_router_stored_counts_at_once() {
    let mut router = Router::new();
    router.submit();
    let exists = || {
        let approval = Approval {
            number: 1,
            by: "carl".to_string(),
        };
        Ok(StoreReply::Transaction {
            done: false,
            revision: 3,
            entries: vec![StoreEntry {
                key: Keys::approval(1),
                value: serde_json::to_string(&approval).expect("JSON"),
                revision: 3,
            }],
        })
    };
    assert_eq!(router.approve("ben", exists), OperatorReply::Approved(1));
    assert_eq!(router.approvers(), ["carl"]);
}
