//! Orders that get no answer and are carried out later, after newer ones.

use std::collections::{BTreeMap, BTreeSet};

use runrail::logic::direct::{DirectEffect, GroupOrder, GroupStep, OrderResult};
use runrail::types::SeatState;

use crate::fixture::{engine, seat, Router};

/// Time after which an order without an answer counts as unanswered.
const ANSWER_LIMIT_MS: u64 = 600;

/// An endpoint that refuses orders whose fence is lower than one that it has seen.
#[derive(Default)]
struct Endpoint {
    fence: u64,
    /// Group, epoch, members and whether it is open here.
    seat: Option<(String, u64, Vec<String>, bool)>,
}

impl Endpoint {
    fn apply(&mut self, order: &GroupOrder) -> OrderResult {
        if order.fence < self.fence {
            return OrderResult::Outdated;
        }
        self.fence = order.fence;
        let held = |s: &Option<(String, u64, Vec<String>, bool)>, g: &str| {
            s.as_ref().is_some_and(|s| s.0 == g)
        };
        match &order.what {
            GroupStep::Join {
                group,
                epoch,
                members,
                ..
            } => {
                let members = members.iter().map(|m| m.to_string()).collect();
                self.seat = Some((group.to_string(), *epoch, members, false));
                OrderResult::Begun
            }
            GroupStep::Open { group, .. } if held(&self.seat, group) => {
                self.seat.iter_mut().for_each(|s| s.3 = true);
                OrderResult::Done
            }
            GroupStep::Leave { group, .. } if held(&self.seat, group) => {
                self.seat = None;
                OrderResult::Done
            }
            GroupStep::Leave { .. } => OrderResult::Done,
            _ => OrderResult::Unfit,
        }
    }
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answered,
    /// Carried out at once, but its answer is lost.
    AnswerLost,
    /// Carried out later, if ever.
    Late,
}

/// A planner, its endpoints, and the orders that have not reached them.
struct World {
    router: Router,
    endpoints: BTreeMap<String, Endpoint>,
    late: Vec<(String, GroupOrder)>,
    /// When orders count as unanswered.
    pending: Vec<(u64, u64, String)>,
    /// All orders in the order in which they were sent.
    sent: Vec<(String, GroupOrder)>,
    /// Most orders that awaited an answer of one endpoint at a time.
    most_pending: usize,
}

impl World {
    fn of_free(numbers: &[u16]) -> Self {
        let mut router = Router::planner(numbers.iter().map(|n| engine(*n, None)).collect());
        // What was ordered before the endpoints exist here isn't part of the test.
        router.advance_ms(0);
        let ids = numbers.iter().map(|n| format!("e{n}"));
        Self {
            router,
            endpoints: ids.map(|id| (id, Endpoint::default())).collect(),
            late: Vec::new(),
            pending: Vec::new(),
            sent: Vec::new(),
            most_pending: 0,
        }
    }

    /// Lets time pass; `fate` decides what becomes of each order that is sent.
    fn run(&mut self, ms: u64, fate: impl Fn(&str, &GroupStep) -> Fate) {
        let end = self.router.now + ms;
        loop {
            for effect in self.router.take_effects() {
                if let DirectEffect::Order {
                    order, id, body, ..
                } = effect
                {
                    self.on_order(order, id.as_str(), body, &fate);
                }
            }
            let now = self.router.now;
            let due = |p: &&(u64, u64, String)| p.0 <= now;
            let due: Vec<u64> = self.pending.iter().filter(due).map(|p| p.1).collect();
            self.pending.retain(|p| p.0 > now);
            for order in due {
                self.router.answer_order(order, OrderResult::Unanswered);
            }
            if now >= end {
                return;
            }
            self.router.advance_ms(20);
        }
    }

    fn on_order(
        &mut self,
        order: u64,
        id: &str,
        body: GroupOrder,
        fate: &impl Fn(&str, &GroupStep) -> Fate,
    ) {
        self.sent.push((id.to_string(), body.clone()));
        let fate = fate(id, &body.what);
        let endpoint = self.endpoints.get_mut(id).expect("an endpoint");
        match fate {
            Fate::Late => self.late.push((id.to_string(), body)),
            Fate::AnswerLost => {
                endpoint.apply(&body);
            }
            Fate::Answered => {
                let result = endpoint.apply(&body);
                return self.router.answer_order(order, result);
            }
        }
        let until = self.router.now + ANSWER_LIMIT_MS;
        self.pending.push((until, order, id.to_string()));
        let of_endpoint = self.pending.iter().filter(|p| p.2 == id);
        self.most_pending = self.most_pending.max(of_endpoint.count());
    }

    /// Shows the seats of all endpoints in the list, each ready or open.
    fn list_seats(&mut self) {
        for (id, endpoint) in &self.endpoints {
            let Some((group, epoch, members, open)) = &endpoint.seat else {
                continue;
            };
            let rank = members.iter().position(|m| m == id).expect("a member");
            let state = if *open {
                SeatState::Open
            } else {
                SeatState::Ready
            };
            let place =
                seat(group, rank, state).map(|s| runrail::types::GroupSeat { epoch: *epoch, ..s });
            let number = id[1..].parse().expect("a number");
            self.router.change(id, Some(engine(number, place).1));
        }
    }

    /// Instances that are members of a group whose head is open, and of another one.
    fn in_two_groups(&self) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        for (group, _, members, open) in self.endpoints.values().filter_map(|e| e.seat.as_ref()) {
            for member in members.iter().filter(|_| *open) {
                let other = self.endpoints.get(member).and_then(|e| e.seat.as_ref());
                if other.is_some_and(|s| s.0 != *group) {
                    found.insert(member.clone());
                }
            }
        }
        found
    }
}

fn is_join_or_open(step: &GroupStep) -> bool {
    matches!(step, GroupStep::Join { .. } | GroupStep::Open { .. })
}

/// Guards against an instance in two groups: the first order to join a group, and those to open it,
/// were carried out at its head after that had left, while its members joined the next group.
#[test]
fn orders_of_a_group_that_was_given_up_are_refused_when_they_are_late() {
    let mut world = World::of_free(&[1, 2, 3]);
    let mut first = None;
    world.run(200, |_, _| Fate::Late);
    for (_, order) in &world.sent {
        if let GroupStep::Join { group, members, .. } = &order.what {
            first = Some((group.to_string(), members[0].to_string()));
        }
    }
    let (first, head) = first.expect("a group is formed");
    // The repeated orders to join are carried out; no order to open reaches the head in time.
    world.run(1_500, |_, step| match step {
        GroupStep::Open { .. } => Fate::Late,
        _ => Fate::AnswerLost,
    });
    world.list_seats();
    world.run(2_500, |_, step| match step {
        GroupStep::Open { .. } => Fate::Late,
        _ => Fate::AnswerLost,
    });
    let is_open = |(_, o): &(String, GroupOrder)| matches!(o.what, GroupStep::Open { .. });
    assert!(world.late.iter().any(is_open), "{:?}", world.sent);
    // The head answers that it has left, and the next group is formed. Its order to join hasn't
    // reached the head yet.
    world.run(2_000, |id, step| {
        if id == head && is_join_or_open(step) {
            Fate::Late
        } else {
            Fate::Answered
        }
    });
    let of_first = |order: &GroupOrder| match &order.what {
        GroupStep::Join { group, .. } | GroupStep::Open { group, .. } => **group == *first,
        _ => false,
    };
    let is_next = |(_, o): &(String, GroupOrder)| is_join_or_open(&o.what) && !of_first(o);
    assert!(world.sent.iter().any(is_next), "{:?}", world.sent);
    let late = std::mem::take(&mut world.late);
    let outdated: Vec<_> = late.iter().filter(|(_, o)| of_first(o)).collect();
    assert!(outdated.len() > 1, "{late:?}");
    for (id, order) in outdated {
        let endpoint = world.endpoints.get_mut(id).expect("an endpoint");
        assert_eq!(endpoint.apply(order), OrderResult::Outdated, "{order:?}");
        assert_eq!(world.in_two_groups(), BTreeSet::new(), "{order:?}");
    }
}

/// Guards against orders that refuse each other: a later one that overtakes an earlier one makes
/// the endpoint refuse the earlier.
#[test]
fn an_endpoint_has_at_most_one_order_in_progress_and_the_fences_of_its_orders_rise() {
    let mut world = World::of_free(&[1, 2, 3]);
    world.run(6_000, |id, _| {
        if id == "e2" {
            Fate::Late
        } else {
            Fate::Answered
        }
    });
    assert_eq!(world.most_pending, 1);
    let mut last: BTreeMap<&String, u64> = BTreeMap::new();
    for (id, order) in &world.sent {
        let before = last.insert(id, order.fence);
        assert!(before.is_none_or(|b| b < order.fence), "{:?}", world.sent);
    }
    assert!(world.sent.len() > 6, "{:?}", world.sent);
}
