//! Routing tables for tests.

#![allow(dead_code, clippy::unwrap_used)]

use std::sync;

use indexmap::IndexMap;
use yucca_wire::id;
use yucca_wire::table;
use yucca_wire::unit;

/// Returns a service under `/NAME`.
pub fn service(name: &str, kind: table::Kind) -> table::Service {
    table::Service {
        prefix: format!("/{name}"),
        kind,
        deadline: unit::Span::from_millis(2000),
        routes: vec![
            table::Route {
                method: Some("GET".into()),
                path: "*".into(),
                class: table::Class::Short,
                idempotent: true,
                deadline: Some(unit::Span::from_millis(500)),
            },
            table::Route {
                method: None,
                path: "search/**".into(),
                class: table::Class::Long,
                idempotent: true,
                deadline: None,
            },
        ],
        retry: table::Retry {
            attempts: 3,
            budget: 0.1,
        },
        limits: table::Limits {
            body: unit::Size(1024),
            queue_requests: 16,
            queue_bytes: unit::Size(1 << 20),
            short_reserve: id::Slots(1),
        },
        on_cut: table::Cut::Hold,
        objectives: IndexMap::new(),
    }
}

/// Returns a serving target with a lane at host `h1`.
pub fn target(service: &str) -> table::Target {
    table::Target {
        service: service.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        slots: id::Slots(3),
        connections: 130,
        checks_tokens: true,
        state: table::State::Serving,
        lane: Some("h1".parse().unwrap()),
        standby: None,
        token: id::Token::default(),
        warm: 1.0,
    }
}

/// Returns a table with one pool service whose targets are in the named domains.
pub fn pool(domains: &[(&str, &[&str])]) -> table::Table {
    let mut table = table::Table::default();
    let mut global = table::Global::default();
    let name: id::Service = "till".parse().unwrap();
    global
        .services
        .insert(name, service("till", table::Kind::Pool));
    table.global = sync::Arc::new(global);
    for (domain, targets) in domains {
        let domain: id::Domain = domain.parse().unwrap();
        let mut local = table::Local::new(domain.clone());
        for name in *targets {
            local.targets.insert(name.parse().unwrap(), target("till"));
        }
        table.locals.insert(domain, sync::Arc::new(local));
    }
    table
}

/// Sets the number of hosts of each domain.
pub fn hosts(table: &mut table::Table, counts: &[(&str, usize)]) {
    let global = sync::Arc::make_mut(&mut table.global);
    for (domain, count) in counts {
        let host = |number| {
            let host = table::Host {
                peer: "127.0.0.1:1".parse().unwrap(),
                control: "127.0.0.1:1".parse().unwrap(),
                disk: false,
            };
            (format!("{domain}-{number}").parse().unwrap(), host)
        };
        let stated = table::Domain {
            region: "western".parse().unwrap(),
            generation: 0,
            lost: false,
            hosts: (0..*count).map(host).collect(),
        };
        global.domains.insert(domain.parse().unwrap(), stated);
    }
}
