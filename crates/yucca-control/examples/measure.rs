//! Measures control processes over in-memory calls: tickets per second, time until a ticket is
//! known on all hosts, bytes and processor time.
//!
//! `cargo run --release -p yucca-control --example measure`

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::fs;
use std::net;
use std::sync;
use std::time;

use tokio::task;
use yucca_control::peer::memory;
use yucca_control::process::core;
use yucca_control::version::feed;
use yucca_control::{machine, message, settings};
use yucca_own::{global, ticket};

/// The first ticket, with the services and hosts of the deployment kelani.
const SAMPLE: &str = include_str!("../../../settings/kelani/ticket.toml");

/// Duration of the measurement of an idle deployment.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Number of tickets for which the time until all hosts know them is measured.
const PROPAGATED_TICKETS: u64 = 20;

/// Number of tickets in flight at a time.
const BATCH_TICKETS: u64 = 64;

/// Total number of tickets of the measurement of throughput.
const TICKETS: u64 = 4096;

/// Ticks per second of the processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

struct Host {
    core: sync::Arc<core::Core>,
    _tasks: task::JoinSet<()>,
}

fn main() {
    println!("{:>34} {:>12}", "measure", "value");
    measure_tickets_on_disk();
    for hosts in [11, 200] {
        measure_idle_and_propagation(hosts);
    }
}

/// Measures tickets committed by three voters with disks, each synced before it is acknowledged.
fn measure_tickets_on_disk() {
    let folder = std::env::temp_dir().join(format!("yucca-measure-{}", std::process::id()));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let hosts = start(3, 3, Some(&folder)).await;
        submit(&hosts[0], 1).await;
        let begin = time::Instant::now();
        for batch in 0..TICKETS / BATCH_TICKETS {
            let first = 2 + batch * BATCH_TICKETS;
            let all = (first..first + BATCH_TICKETS).map(|number| submit(&hosts[0], number));
            futures_util::future::join_all(all).await;
        }
        let rate = TICKETS as f64 / begin.elapsed().as_secs_f64();
        print("tickets/s synced, 64 at a time", format!("{rate:.0}"));
        let begin = time::Instant::now();
        for number in 0..200 {
            submit(&hosts[0], TICKETS + 10 + number).await;
        }
        let each = begin.elapsed().as_secs_f64() * 1e3 / 200.0;
        print("ms a ticket synced, one at a time", format!("{each:.2}"));
    });
    drop(runtime);
    fs::remove_dir_all(folder).ok();
}

fn measure_idle_and_propagation(count: usize) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let hosts = start(count, 5, None).await;
        let network = hosts[0].1.clone();
        submit_text(&hosts[0], SAMPLE).await;
        tokio::time::sleep(time::Duration::from_secs(2)).await;
        let (ticks, bytes) = (processor_ticks(), total(&network));
        tokio::time::sleep(IDLE_PERIOD).await;
        let per_host = count as f64 * IDLE_PERIOD.as_secs_f64();
        let share = (processor_ticks() - ticks) / TICKS_PER_SECOND / per_host * 100.0;
        print(
            &format!("% of a core a host, idle, {count}"),
            format!("{share:.3}"),
        );
        let rate = (total(&network) - bytes) as f64 / per_host / 1e3;
        print(&format!("KB/s a host, idle, {count}"), format!("{rate:.2}"));
        measure_propagation(&hosts, &network, count).await;
    });
}

async fn measure_propagation(
    hosts: &[(Host, memory::Network)],
    network: &memory::Network,
    count: usize,
) {
    let mut times = Vec::new();
    let before = total(network);
    let begin = time::Instant::now();
    for number in 2..2 + PROPAGATED_TICKETS {
        let version = submit(&hosts[0], number).await;
        let accepted = time::Instant::now();
        let behind = |h: &(Host, memory::Network)| h.0.core.feed.known().global < version;
        while hosts.iter().any(behind) {
            tokio::time::sleep(time::Duration::from_micros(200)).await;
        }
        times.push(accepted.elapsed());
    }
    times.sort();
    let millis = |d: time::Duration| format!("{:.1}", d.as_secs_f64() * 1e3);
    print(
        &format!("ms to all hosts, median, {count}"),
        millis(times[times.len() / 2]),
    );
    print(
        &format!("ms to all hosts, worst, {count}"),
        millis(times[times.len() - 1]),
    );
    let each = (total(network) - before) as f64 / count as f64 / PROPAGATED_TICKETS as f64;
    let seconds = begin.elapsed().as_secs_f64() / PROPAGATED_TICKETS as f64;
    print(
        &format!("bytes a host and ticket, {count}"),
        format!("{each:.0} in {seconds:.3} s"),
    );
    print_update_sizes(hosts, count).await;
}

/// Prints the sizes of the updates to a host that has the previous version, and to one that has
/// none.
async fn print_update_sizes(hosts: &[(Host, memory::Network)], count: usize) {
    let feed = &hosts[0].0.core.feed;
    let before = feed.known();
    submit(&hosts[0], PROPAGATED_TICKETS + 2).await;
    let delta = machine::pack(&feed.since(&before)).len();
    print(&format!("bytes of a delta, {count}"), delta.to_string());
    let whole = machine::pack(&feed.since(&feed::Known::default())).len();
    print(&format!("bytes of a snapshot, {count}"), whole.to_string());
}

fn print(name: &str, value: String) {
    println!("{name:>34} {value:>12}");
}

fn total(network: &memory::Network) -> u64 {
    network.bytes().values().sum()
}

/// Returns the processor time that this process has used.
fn processor_ticks() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()
}

/// Starts hosts in three domains, of which the first `disks` of each have disks.
async fn start(
    count: usize,
    disks: usize,
    data: Option<&std::path::Path>,
) -> Vec<(Host, memory::Network)> {
    let network = memory::Network::new(time::Duration::from_micros(500));
    let peers: Vec<settings::Peer> = (0..count).map(|index| peer(index, disks)).collect();
    let mut hosts = Vec::new();
    for (index, own) in peers.iter().enumerate() {
        let mut settings = settings_of(own);
        settings.peers.clone_from(&peers);
        settings.data = data.map(|data| data.join(own.host.as_str()));
        let sender = sync::Arc::new(network.sender(own.address));
        let core = core::Core::new(settings, sender, index as u64);
        let tasks = core::run(&core).unwrap();
        network.attach(own.address, core.clone());
        hosts.push((
            Host {
                core,
                _tasks: tasks,
            },
            network.clone(),
        ));
    }
    while !hosts.iter().all(|host| host.0.core.ready.is_ready()) {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    hosts
}

fn peer(index: usize, disks: usize) -> settings::Peer {
    let (domain, number) = (index % 3, index / 3);
    let name = ["colombo", "ratmalana", "maradana"][domain];
    settings::Peer {
        host: format!("{name}-{number}").parse().unwrap(),
        domain: name.parse().unwrap(),
        address: net::SocketAddr::from(([127, 0, domain as u8, number as u8 + 1], 7000)),
        disk: number < disks,
    }
}

fn settings_of(own: &settings::Peer) -> settings::Settings {
    let text = format!(
        "deployment = \"kelani\"\nhost = \"{}\"\ndomain = \"{}\"\n[addresses]\noperator = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nhealth = \"127.0.0.1:0\"\n[secrets]\noperator = \"operator-key-of-bench\"\npeer = \"peer-key-of-the-bench\"\n[timing]\n",
        own.host, own.domain
    );
    settings::read(&text, "measure").unwrap()
}

/// Submits a ticket to the leader, as the operator API does, and returns its version.
async fn submit(host: &(Host, memory::Network), number: u64) -> yucca_wire::id::Version {
    let text = format!(
        r#"{{"number": {number}, "summary": "measured", "services": {{"ticket-desk": {{"prefix": "/ticket-desk", "deadline": "{}ms", "kind": {{"keyed": {{"key": {{"segment": 0}}, "shards": 1024}}}}}}}}}}"#,
        number + 100
    );
    let checked = ticket::check(text.as_bytes(), ticket::Format::Json).unwrap();
    submit_checked(host, checked).await
}

async fn submit_text(host: &(Host, memory::Network), text: &str) -> yucca_wire::id::Version {
    let mut checked = ticket::check(text.as_bytes(), ticket::Format::Toml).unwrap();
    // Only the hosts of the settings are used.
    for domain in checked.domains.values_mut() {
        domain.hosts.clear();
    }
    submit_checked(host, checked).await
}

async fn submit_checked(
    host: &(Host, memory::Network),
    checked: ticket::Checked,
) -> yucca_wire::id::Version {
    let command = global::Command::Submit {
        ticket: Box::new(checked),
        sender: "measure".into(),
    };
    let request = message::Propose {
        log: message::Log::Global,
        entry: machine::pack(&command),
    };
    let answer = host
        .0
        .core
        .ask_leader(request, time::Duration::from_secs(10))
        .await;
    let Some(message::ProposeReply::Applied(receipt)) = answer else {
        return yucca_wire::id::Version(0);
    };
    match rmp_serde::from_slice(&receipt.reply) {
        Ok(global::Reply::Accepted { version, .. }) => version,
        _ => yucca_wire::id::Version(0),
    }
}
