//! Burn rates. A burn rate is the fraction of requests that failed, divided by the fraction that
//! the objective allows to fail.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use yucca_wire::table;

use crate::burn::objectives;
use crate::burn::record;
use crate::burn::scrape;
use crate::show;

/// Period to which an objective and its error budget apply.
pub const PERIOD: Duration = Duration::from_secs(30 * 24 * 3600);

/// Windows, shortest first. The first two show a budget that is being used up fast now and decide on
/// the fast alarm. The last two show slow but lasting use and decide on the slow alarm.
pub const WINDOWS: [Window; 4] = [
    Window::new("5m", 5 * 60),
    Window::new("1h", 3600),
    Window::new("6h", 6 * 3600),
    Window::new("3d", 3 * 24 * 3600),
];

/// Minimum burn rate in both of the first two windows that raises the fast alarm. It uses up 2 % of
/// a period's budget in an hour.
const FAST_BURN: f64 = 14.4;

/// Minimum burn rate in both of the last two windows that raises the slow alarm. It uses up 10 % of
/// a period's budget in three days.
const SLOW_BURN: f64 = 1.0;

/// Window of time that ends with the last reading.
#[derive(Debug, Clone, Copy)]
pub struct Window {
    /// Name, as in reports.
    pub name: &'static str,
    /// Length.
    pub length: Duration,
}

impl Window {
    const fn new(name: &'static str, seconds: u64) -> Self {
        Self {
            name,
            length: Duration::from_secs(seconds),
        }
    }
}

/// Use of the error budget by one service and class.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Service and class.
    #[serde(rename = "line")]
    pub labels: scrape::Labels,
    /// Fraction of requests that must be served, according to the objective.
    pub availability: f64,
    /// Number of requests in the whole record.
    pub requests: u64,
    /// Number of requests in the record that were not served.
    pub failures: u64,
    /// Number of requests in the record that were served later than the latency objective.
    pub slow: u64,
    /// Burn rate by window; `None` for a window without requests.
    pub burn: IndexMap<&'static str, Option<f64>>,
    /// Fraction of the period's budget that was used up within the record.
    pub budget_used: f64,
    /// Hours until the budget is used up at the burn rate of the shortest window; 0 if it is used
    /// up already. `None` if that window has no requests, or if budget is left and the burn rate
    /// is 0.
    pub gone_in_hours: Option<f64>,
    /// Number of failed requests by cause, the largest first.
    pub causes: IndexMap<String, u64>,
    /// Whether more than 1 % of requests were served later than the latency objective.
    pub late: bool,
    /// Alarm level.
    pub alarm: Alarm,
}

/// Alarm level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alarm {
    /// No alarm.
    None,
    /// The budget is used up slowly: handle it in working hours.
    Slow,
    /// The budget is used up fast: wake somebody to handle it at once.
    Fast,
}

/// Summarizes each service and class at the end of a record.
///
/// Assumes 99.9 % availability for a service and class without an objective.
pub fn compute(readings: &[record::Reading], objectives: &objectives::Objectives) -> Vec<Summary> {
    let Some(last) = readings.last() else {
        return Vec::new();
    };
    let labels = last.sample.keys();
    labels
        .map(|labels| {
            let objective = objectives.get(labels).cloned().unwrap_or(table::Objective {
                availability: 0.999,
                latency: yucca_wire::unit::Span::from_millis(100),
            });
            summarize(readings, labels, &objective)
        })
        .collect()
}

fn summarize(
    readings: &[record::Reading],
    labels: &scrape::Labels,
    objective: &table::Objective,
) -> Summary {
    let total = within(readings, labels, Duration::MAX);
    let allowed = (1.0 - objective.availability).max(f64::EPSILON);
    let rate = |counts: &scrape::Counts| {
        (counts.requests > 0).then(|| fraction(counts.failures(), counts.requests) / allowed)
    };
    let burn: IndexMap<&'static str, Option<f64>> = WINDOWS
        .iter()
        .map(|window| {
            let counts = within(readings, labels, window.length);
            (window.name, rate(&counts))
        })
        .collect();
    let recorded = duration(readings);
    let used = rate(&total).unwrap_or_default() * recorded.as_secs_f64() / PERIOD.as_secs_f64();
    let current = burn.get(WINDOWS[0].name).copied().flatten();
    let mut causes = total.failed.clone();
    causes.sort_by(|_, a, _, b| b.cmp(a));
    causes.retain(|_, count| *count > 0);
    Summary {
        labels: labels.clone(),
        availability: objective.availability,
        requests: total.requests,
        failures: total.failures(),
        slow: total.slow,
        budget_used: used,
        gone_in_hours: current.and_then(|rate| hours_until_exhausted(rate, used)),
        alarm: alarm(&burn),
        late: fraction(total.slow, total.requests) > 0.01,
        causes,
        burn,
    }
}

fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}

fn duration(readings: &[record::Reading]) -> Duration {
    let first = readings.first().map_or(0, |reading| reading.at_ms);
    let last = readings.last().map_or(0, |reading| reading.at_ms);
    Duration::from_millis(last.saturating_sub(first))
}

/// Returns the increase of the counters in the last `length` of the record.
fn within(
    readings: &[record::Reading],
    labels: &scrape::Labels,
    length: Duration,
) -> scrape::Counts {
    let end = readings.last().map_or(0, |reading| reading.at_ms);
    let start = end.saturating_sub(u64::try_from(length.as_millis()).unwrap_or(u64::MAX));
    let from = readings.iter().rposition(|reading| reading.at_ms <= start);
    let from = from.unwrap_or(0);
    let mut total = scrape::Counts::default();
    for pair in readings[from..].windows(2) {
        let none = scrape::Counts::default();
        let earlier = pair[0].sample.get(labels).unwrap_or(&none);
        if let Some(later) = pair[1].sample.get(labels) {
            total.add(&later.since(earlier));
        }
    }
    total
}

fn hours_until_exhausted(rate: f64, used: f64) -> Option<f64> {
    if rate <= 0.0 || used >= 1.0 {
        return (used >= 1.0).then_some(0.0);
    }
    Some((1.0 - used) * PERIOD.as_secs_f64() / 3600.0 / rate)
}

fn alarm(burn: &IndexMap<&'static str, Option<f64>>) -> Alarm {
    let above = |index: usize, limit: f64| {
        let rate = burn.get(WINDOWS[index].name).copied().flatten();
        rate.is_some_and(|rate| rate >= limit)
    };
    if above(0, FAST_BURN) && above(1, FAST_BURN) {
        Alarm::Fast
    } else if above(2, SLOW_BURN) && above(3, SLOW_BURN) {
        Alarm::Slow
    } else {
        Alarm::None
    }
}

/// Returns the report as a table for a terminal.
pub fn table(summaries: &[Summary]) -> String {
    let rows = summaries.iter().map(|summary| {
        let mut row = vec![
            summary.labels.to_string(),
            summary.requests.to_string(),
            summary.failures.to_string(),
            summary.slow.to_string(),
        ];
        row.extend(summary.burn.values().map(|rate| match rate {
            Some(rate) => format!("{rate:.2}"),
            None => "-".into(),
        }));
        row.push(format!("{:.2} %", summary.budget_used * 100.0));
        row.push(match summary.gone_in_hours {
            Some(hours) => format!("{hours:.0} h"),
            None => "-".into(),
        });
        row.push(causes(summary));
        row.push(format!("{:?}", summary.alarm).to_lowercase());
        row
    });
    show::table(
        &[
            "service/class",
            "requests",
            "failed",
            "slow",
            "burn 5m",
            "1h",
            "6h",
            "3d",
            "budget used",
            "exhausted in",
            "causes",
            "alarm",
        ],
        rows.collect(),
    )
}

/// Returns the causes of failures and their numbers as text, the largest first.
pub fn causes(summary: &Summary) -> String {
    let causes = summary.causes.iter();
    let texts: Vec<String> = causes
        .map(|(cause, count)| format!("{cause} {count}"))
        .collect();
    if texts.is_empty() {
        return "-".into();
    }
    texts.join(", ")
}
