//! The part of a file that says what goes wrong.

use super::values::Taken;
use crate::faults::{Fault, Harm, When, Whom};
use maplehook_config::reader::Reader;
use std::time::Duration;

const DOES: &str = "crash, vanish, pause, slow, errors, deploy, flap, cut, loss, delay, discovery_out, \
                    discovery_empty, discovery_stale, restart";

pub(super) fn read(reader: &mut Reader<'_>, kinds: &[String]) -> Vec<Fault> {
    let mut all: Vec<Fault> = Vec::new();
    for (n, mut table) in Taken::list(reader, "fault").into_iter().enumerate() {
        let name: String = table.take("name").unwrap_or_else(|| format!("fault {}", n + 1));
        let when = when(&mut table, &all);
        let lasts = table.seconds("lasts_s").unwrap_or_default();
        let spread = table.seconds("spread_s").unwrap_or_default();
        let kind = table.take::<String>("kind").and_then(|kind| {
            let found = kinds.iter().position(|k| *k == kind);
            if found.is_none() {
                table.fault("kind", format!("no upstream is of kind {kind:?}"));
            }
            found.map(|k| k as u16)
        });
        let whom = Whom {
            zone: table.number("zone", 0.0, 199.0).map(|z| z as u8),
            kind,
            share: table.number("share", 0.0, 1.0),
            count: table.number("count", 1.0, 1e6).map(|c| c as usize),
            number: table.number("number", 0.0, 1e6).map(|c| c as usize),
        };
        let what = what(&mut table);
        table.done();
        all.push(Fault { name, when, lasts, spread, whom, what });
    }
    all
}

fn when(table: &mut Taken<'_, '_>, earlier: &[Fault]) -> When {
    let (at, every) = (table.seconds("at_s"), table.seconds("every_s"));
    let after: Option<String> = table.take("after");
    let (wait, chance) = (table.seconds("wait_s"), table.number("chance", 0.0, 1.0));
    if after.is_none() && (wait.is_some() || chance.is_some()) {
        table.fault("after", "wait_s and chance go with after".into());
    }
    match (at, every, after) {
        (Some(at), None, None) => When::At(at),
        (None, Some(every), None) if !every.is_zero() => When::Every(every),
        (None, Some(_), None) => {
            table.fault("every_s", "it has to be over 0".into());
            When::At(Duration::ZERO)
        }
        (None, None, Some(name)) => {
            if !earlier.iter().any(|f| f.name == name) {
                table.fault("after", format!("no fault above is called {name:?}"));
            }
            When::After(name, wait.unwrap_or_default(), chance.unwrap_or(1.0))
        }
        _ => {
            table.fault("at_s", "one of at_s, every_s and after is needed".into());
            When::At(Duration::ZERO)
        }
    }
}

fn what(table: &mut Taken<'_, '_>) -> Harm {
    let does: String = table.needed("does").unwrap_or_default();
    match does.as_str() {
        "crash" => Harm::Crash,
        "vanish" => Harm::Vanish,
        "pause" => Harm::Pause,
        "slow" => Harm::Slow(table.number("factor", 1e-3, 1e6).unwrap_or(4.0)),
        "errors" => Harm::Errors(table.number("of", 0.0, 1.0).unwrap_or(1.0)),
        "deploy" => Harm::Deploy,
        "flap" => Harm::Flap,
        "cut" => Harm::Cut {
            from: table.number("from", 0.0, 199.0).unwrap_or(0.0) as u8,
            to: table.number("to", 0.0, 199.0).unwrap_or(0.0) as u8,
            one_way: table.take("one_way").unwrap_or(false),
        },
        "loss" => Harm::Loss(table.number("of", 0.0, 0.99).unwrap_or(0.1)),
        "delay" => Harm::Delay(table.number("factor", 0.0, 1e6).unwrap_or(4.0)),
        "discovery_out" => Harm::DiscoveryOut,
        "discovery_empty" => Harm::DiscoveryEmpty,
        "discovery_stale" => Harm::DiscoveryStale(table.seconds("more_s").unwrap_or(Duration::from_secs(5))),
        "restart" => Harm::Restart,
        _ => {
            if !does.is_empty() {
                table.fault("does", format!("{does:?} is no harm; there are {DOES}"));
            }
            Harm::Pause
        }
    }
}
