//! A planned handover forwards waiting requests, finishes running ones and reports the slots that
//! are still occupied.

mod support;

use support::*;
use yucca_lane::lane;
use yucca_lane::ledger;
use yucca_lane::request;
use yucca_wire::id;

fn handed_over() -> (lane::Lane, Vec<lane::Output>) {
    let mut lane = lane();
    arrive(&mut lane, order(1), ms(0));
    for id in 2..=5 {
        arrive(&mut lane, read(id), ms(0));
    }
    let outputs = lane.step(lane::Input::HandOver { to: host("b") }, ms(1));
    (lane, outputs)
}

#[test]
fn waiting_requests_are_forwarded_with_the_ledger() {
    let (lane, outputs) = handed_over();
    let forwarded: Vec<_> = outputs
        .iter()
        .filter(|output| matches!(output, lane::Output::Forward { .. }))
        .collect();
    assert_eq!(forwarded.len(), 2);
    let last = outputs.last().unwrap();
    let lane::Output::HandOver { ledger, held, .. } = last else {
        panic!("{last:?}");
    };
    assert_eq!((ledger.entries.len(), *held), (1, id::Slots(3)));
    assert_eq!(lane.waiting(), 0);
}

#[test]
fn running_requests_finish_and_slots_are_reported() {
    let (mut lane, _) = handed_over();
    let outputs = answer(&mut lane, 2, ms(3));
    assert_eq!(delivered(&outputs), [2]);
    let (to, slots) = (host("b"), id::Slots(2));
    assert_eq!(outputs.last(), Some(&lane::Output::HeldSlots { to, slots }));
    let outputs = arrive(&mut lane, read(9), ms(4));
    assert!(matches!(outputs[0], lane::Output::Forward { .. }));
    answer(&mut lane, 3, ms(5));
    let outputs = answer(&mut lane, 1, ms(6));
    assert_eq!(delivered(&outputs), [1]);
    let settled = |output: &lane::Output| match output {
        lane::Output::Settle { entry, .. } => {
            entry.state == ledger::State::Answered(request::Status(200))
        }
        _ => false,
    };
    assert!(outputs.iter().any(settled));
}

#[test]
fn the_successor_uses_only_free_slots() {
    let (_, outputs) = handed_over();
    let ledger = outputs.into_iter().find_map(|output| match output {
        lane::Output::HandOver { ledger, .. } => Some(ledger),
        _ => None,
    });
    let mut new = lane();
    let takeover = lane::Takeover {
        ledger: ledger.unwrap(),
        predecessor_slots: id::Slots(3),
        predecessor_until: SECOND,
    };
    new.step(lane::Input::TakeOver(takeover), ms(2));
    assert!(sent(&arrive(&mut new, read(4), ms(2))).is_empty());
    let freed = lane::Input::PredecessorSlots {
        slots: id::Slots(2),
        until: SECOND,
    };
    assert_eq!(sent(&new.step(freed, ms(3))), [4]);
    let unknown = arrive(&mut new, order(1), ms(4));
    assert_eq!(replayed(&unknown), [(1, request::Outcome::Unknown)]);
    let entry = ledger::Entry {
        id: id::Request(1),
        fingerprint: 1,
        seq: 1,
        shard: None,
        remaining: ms(0),
        state: ledger::State::Answered(request::Status(200)),
    };
    new.step(lane::Input::Settled { entry }, ms(6));
    let outcome = request::Outcome::Answered(request::Status(200));
    let again = request::Arrival {
        caller: request::Caller(7),
        ..order(1)
    };
    assert_eq!(replayed(&arrive(&mut new, again, ms(7))), [(7, outcome)]);
}
