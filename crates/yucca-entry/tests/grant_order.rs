//! Orders to a target and changes of its lane when a shard moves before or after the target
//! confirmed the grant.

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
fn moving_unconfirmed_grant_is_revoked() {
    let grants = grants::Grants::default();
    assert!(grants.reconcile(&desired(1, false)).is_empty());
    assert_eq!(grants.pending_order(token(9)).granted.len(), 1);
    // The target did not confirm the grant, so the lane has nothing to hold. The grant must still
    // be revoked, or the shard would never be released.
    assert!(grants.reconcile(&desired(1, true)).is_empty());
    assert_eq!(grants.pending_order(token(9)).revoked.len(), 1);
    assert!(!grants.confirm(&SCOPE, token(1)));
}

#[test]
fn moving_confirmed_grant_is_held_then_resumed() {
    let grants = grants::Grants::default();
    grants.reconcile(&desired(1, false));
    assert!(grants.confirm(&SCOPE, token(1)));
    let changes = grants.reconcile(&desired(1, true));
    assert_eq!(changes, [lane::Change::Hold { scope: SCOPE }]);
    let changes = grants.reconcile(&desired(1, false));
    assert_eq!(changes, [lane::Change::Resume { scope: SCOPE }]);
}

#[test]
fn newer_token_needs_a_new_confirmation() {
    let grants = grants::Grants::default();
    grants.reconcile(&desired(1, false));
    assert!(grants.confirm(&SCOPE, token(1)));
    assert!(grants.reconcile(&desired(2, false)).is_empty());
    assert!(!grants.confirm(&SCOPE, token(1)));
    assert!(grants.confirm(&SCOPE, token(2)));
}

#[test]
fn grant_of_another_owner_is_released() {
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
