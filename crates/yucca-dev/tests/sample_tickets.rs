//! Sizes of the sample deployments, and the work classes of the routes in their tickets.
#![allow(clippy::unwrap_used, clippy::panic)]

use test_case::test_case;
use yucca_dev::{deployment, route};
use yucca_wire::ticket;

#[test_case(deployment::Name::Kelani, &[13, 10, 13]; "kelani")]
#[test_case(deployment::Name::Brightwater, &[13, 7, 13]; "brightwater")]
fn sample_deployments_have_current_sizes(name: deployment::Name, targets: &[usize]) {
    let deployment = deployment::Deployment::new(name).unwrap();
    let found: Vec<usize> = deployment
        .groups
        .iter()
        .map(|group| group.targets)
        .collect();
    assert_eq!(found, targets);
    let domains = deployment.ticket.domains.values();
    let hosts: Vec<usize> = domains.map(|domain| domain.hosts.len()).collect();
    assert_eq!(hosts, [3, 4, 4]);
}

#[test_case(0, "GET", "/ticket-desk/engine-7", Some((ticket::Class::Short, true)); "lookup")]
#[test_case(0, "GET", "/ticket-desk/engine-7/history", Some((ticket::Class::Long, true)); "history")]
#[test_case(1, "POST", "/renewal-office/renew", Some((ticket::Class::Short, false)); "renewal")]
#[test_case(2, "GET", "/records-vault/search", Some((ticket::Class::Long, true)); "search")]
#[test_case(2, "POST", "/records-vault/search", None; "another method")]
#[test_case(0, "GET", "/elsewhere", None; "another prefix")]
fn routes_give_work_classes(
    group: usize,
    method: &str,
    path: &str,
    expected: Option<(ticket::Class, bool)>,
) {
    let kelani = deployment::Deployment::new(deployment::Name::Kelani).unwrap();
    let found = route::find(&kelani.groups[group].rules, method, path);
    assert_eq!(found.map(|route| (route.class, route.idempotent)), expected);
}
