//! `yucca target drain SERVICE TARGET`

use bpaf::Bpaf;
use serde_json::{Value, json};
use yucca_wire::id;

use crate::client;
use crate::error::Error;
use crate::show;

/// Writes a ticket that drains a target, or takes it back.
///
/// The ticket carries the service's whole set of drained targets as it stands, with this one added.
/// It is printed, not submitted: save it, read it, and submit it.
/// Example: `yucca target drain ticket-desk desk-3 --number 12 > 12.json`
#[derive(Debug, Clone, Bpaf)]
pub struct Drain {
    /// The number of the new ticket.
    #[bpaf(argument("NUMBER"))]
    pub number: u64,
    /// Take the target back instead.
    pub undo: bool,
    /// The service.
    #[bpaf(positional("SERVICE"))]
    pub service: id::Service,
    /// The target.
    #[bpaf(positional("TARGET"))]
    pub target: id::Target,
}

impl Drain {
    /// Carries the command out.
    ///
    /// # Errors
    /// Fails where no control process answers or the target is not known.
    pub async fn run(&self, client: &client::Client) -> Result<show::Report, Error> {
        let table = client.get("/table").await?;
        self.check_known(&table)?;
        let standing = table["global"]["drains"][self.service.as_str()].as_array();
        let names = standing.into_iter().flatten().filter_map(Value::as_str);
        let mut drains: Vec<&str> = names.filter(|name| *name != self.target.as_str()).collect();
        if !self.undo {
            drains.push(self.target.as_str());
        }
        let verb = if self.undo { "take back" } else { "drain" };
        let ticket = json!({
            "number": self.number,
            "summary": format!("{verb} {}", self.target),
            "drains": { self.service.as_str(): drains },
        });
        let text = format!("{ticket:#}");
        Ok(show::Report::new(ticket, text))
    }

    fn check_known(&self, table: &Value) -> Result<(), Error> {
        let of_service = |target: &Value| target["service"] == self.service.as_str();
        let known = show::members(table, "locals")
            .into_iter()
            .any(|(_, local)| {
                local["targets"]
                    .get(self.target.as_str())
                    .is_some_and(of_service)
            });
        if known {
            return Ok(());
        }
        Err(Error::Argument {
            name: "TARGET",
            problem: format!(
                "{} has no target {}; see `yucca target list`",
                self.service, self.target
            ),
        })
    }
}
