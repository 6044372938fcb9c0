//! What a target and its lane are told of grants that move at any moment.

#![allow(clippy::unwrap_used)]

use indexmap::IndexMap;
use yucca_entry::process::lanes::grants;
use yucca_lane::{lane, owners};
use yucca_wire::{id, table};

const SCOPE: owners::Scope = owners::Scope::Shard(id::Shard(7));

fn token(version: u64) -> id::Token {
    id::Token {
        generation: 0,
        version,
        counter: 0,
    }
}

fn desired(version: u64, moving: bool) -> IndexMap<owners::Scope, grants::Desired> {
    let owner = table::Owner {
        target: "desk-1".parse().unwrap(),
        token: token(version),
        moving,
    };
    let desired = grants::Desired {
        owner,
        previous_owner: None,
    };
    IndexMap::from([(SCOPE, desired)])
}

#[test]
fn unconfirmed_grant_moves() {
    let grants = grants::Grants::default();
    assert!(grants.reconcile(&desired(1, false)).is_empty());
    assert_eq!(grants.pending_order(token(9)).granted.len(), 1);
    // The target never took it; the lane has nothing to hold, and the shard must still come free.
    assert!(grants.reconcile(&desired(1, true)).is_empty());
    assert_eq!(grants.pending_order(token(9)).revoked.len(), 1);
    assert!(!grants.confirm(&SCOPE, token(1)));
}

#[test]
fn confirmed_grant_moves() {
    let grants = grants::Grants::default();
    grants.reconcile(&desired(1, false));
    assert!(grants.confirm(&SCOPE, token(1)));
    let changes = grants.reconcile(&desired(1, true));
    assert_eq!(changes, [lane::Change::Hold { scope: SCOPE }]);
    let changes = grants.reconcile(&desired(1, false));
    assert_eq!(changes, [lane::Change::Resume { scope: SCOPE }]);
}

#[test]
fn newer_token_is_granted_anew() {
    let grants = grants::Grants::default();
    grants.reconcile(&desired(1, false));
    assert!(grants.confirm(&SCOPE, token(1)));
    assert!(grants.reconcile(&desired(2, false)).is_empty());
    assert!(!grants.confirm(&SCOPE, token(1)));
    assert!(grants.confirm(&SCOPE, token(2)));
}

#[test]
fn owner_elsewhere_is_released() {
    let grants = grants::Grants::default();
    grants.reconcile(&desired(1, false));
    assert!(grants.confirm(&SCOPE, token(1)));
    let changes = grants.reconcile(&IndexMap::new());
    let released = lane::Change::Release {
        scope: SCOPE,
        to: None,
    };
    assert_eq!(changes, [released]);
}
