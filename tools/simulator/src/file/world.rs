//! The part of a file that is the world.

use super::faults;
use super::values::{Span, Taken};
use crate::arrivals::{Shape, Stream};
use crate::station::{Choke, Cold, Station};
use crate::time::Time;
use crate::world::{Clients, Connections, Discovery, Network, World};
use maplehook_config::reader::Reader;
use maplehook_core::{Class, DedupGroup, Effect};
use serde::Deserialize;
use std::time::Duration;

/// Upstreams of a world.
const UPSTREAMS_MOST: f64 = 100_000.0;

/// Reads it, and the names of its classes.
pub(super) fn read(reader: &mut Reader<'_>, seed: u64) -> (World, Vec<String>) {
    let base = World { seed, ..World::default() };
    let mut table = Taken::section(reader, "world");
    let mut world = World {
        lasts: table.seconds("lasts_s").unwrap_or(base.lasts),
        settles: table.seconds("settles_s").unwrap_or(base.settles),
        zones: table.number("zones", 1.0, 200.0).unwrap_or(1.0) as u8,
        balancers: table.number("balancers", 1.0, 10_000.0).unwrap_or(1.0) as usize,
        held_most: table.number("held_most", 1.0, 4e6).map_or(base.held_most, |n| n as usize),
        stops: table.take("stops").unwrap_or(base.stops),
        clocks: (
            table.seconds("clock_shift_s").unwrap_or_default(),
            table.number("clock_drift", 0.0, 0.1).unwrap_or(0.0),
        ),
        ..base
    };
    table.done();
    let kinds = upstreams(reader, &mut world);
    let names = classes(reader, &mut world);

    let capacity = world.capacity();
    let mut table = Taken::section(reader, "tenants");
    world.tenants = table.number("count", 1.0, 1e6).unwrap_or(1.0) as u32;
    world.zipf = table.number("zipf", 0.0, 10.0).unwrap_or(0.0);
    world.allowance = table.number("allowance", 0.0, 1000.0).unwrap_or(0.0) * capacity;
    table.done();
    loads(reader, &mut world);
    ways(reader, &mut world);

    let base = Clients::default();
    let mut table = Taken::section(reader, "clients");
    world.clients = Clients {
        retries: table.number("retries", 0.0, 100.0).unwrap_or(0.0) as u32,
        backoff: table.ms("backoff_ms").unwrap_or(base.backoff),
        heed: table.take("heed").unwrap_or(base.heed),
        patience: table.number("patience", 0.01, 1.0).unwrap_or(base.patience),
        fronts: table.number("fronts", 0.0, 10_000.0).unwrap_or(0.0) as usize,
        notice: table.seconds("notice_s").unwrap_or(base.notice),
    };
    table.done();
    world.faults = faults::read(reader, &kinds);
    (world, names)
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdSpec {
    from: f64,
    over_s: f64,
    #[serde(default = "three")]
    multiple: f64,
    #[serde(default)]
    within_s: f64,
}

fn three() -> f64 {
    3.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChokeSpec {
    at: f64,
    after_s: f64,
    factor: f64,
}

fn upstreams(reader: &mut Reader<'_>, world: &mut World) -> Vec<String> {
    let mut kinds: Vec<String> = Vec::new();
    let zones = world.zones;
    for mut table in Taken::list(reader, "upstream") {
        let count = table.number("count", 1.0, UPSTREAMS_MOST).unwrap_or(1.0) as usize;
        let kind: String = table.take("kind").unwrap_or_else(|| "usual".into());
        let kind = kinds.iter().position(|k| *k == kind).unwrap_or_else(|| {
            kinds.push(kind);
            kinds.len() - 1
        });
        let zone = table.number("zone", 0.0, f64::from(zones) - 1.0).map(|z| z as u8);
        let servers = table.number("servers", 1.0, 1e6).unwrap_or(1.0) as usize;
        let queue = table.number("queue", 0.0, 1e9).map_or(usize::MAX, |q| q as usize);
        let service = table.time("service").unwrap_or(Time::Exponential(Duration::from_millis(10)));
        let speed: Span = table.take("speed").unwrap_or(Span::One(1.0));
        if !speed.is_within(1e-3, 1e3) {
            table.fault("speed", "it has to be 0.001 to 1000, or [least, most]".into());
        }
        let cold = table.take::<ColdSpec>("cold").map(|c| {
            let sound = (0.0..=1.0).contains(&c.from)
                && (0.0..=86_400.0).contains(&c.over_s)
                && (0.0..=86_400.0).contains(&c.within_s)
                && c.multiple > 0.0
                && c.multiple.is_finite();
            if !sound {
                table.fault("cold", "from has to be 0 to 1, times 0 to 86400 s, multiple over 0".into());
                return Cold { from: 1.0, over: Duration::ZERO, multiple: 3.0, within: Duration::ZERO };
            }
            let (over, within) = (Duration::from_secs_f64(c.over_s), Duration::from_secs_f64(c.within_s));
            Cold { from: c.from, over, multiple: c.multiple, within }
        });
        let choke = table.take::<ChokeSpec>("choke").and_then(|c| {
            let sound = (0.0..=1e6).contains(&c.at)
                && (0.0..=86_400.0).contains(&c.after_s)
                && (1.0..=1e6).contains(&c.factor);
            if !sound {
                table.fault("choke", "at has to be 0 or more, after_s 0 to 86400, factor 1 or more".into());
            }
            let after = Duration::try_from_secs_f64(c.after_s).unwrap_or_default();
            sound.then_some(Choke { at: c.at, after, factor: c.factor })
        });
        table.done();
        for n in 0..count {
            world.stations.push(Station {
                servers,
                queue,
                service: service.clone(),
                speed: speed.of(n, count).max(1e-3),
                cold,
                choke,
                zone: zone.unwrap_or((n % usize::from(zones)) as u8),
                kind: kind as u16,
            });
        }
    }
    kinds
}

fn classes(reader: &mut Reader<'_>, world: &mut World) -> Vec<String> {
    let mut names = Vec::new();
    for mut table in Taken::list(reader, "class") {
        names.push(table.needed("name").unwrap_or_default());
        let effect: String = table.needed("effect").unwrap_or_default();
        let group = match table.take::<String>("group").as_deref() {
            None | Some("all") => DedupGroup::All,
            Some("zone") => DedupGroup::Zone,
            Some(_) => {
                table.fault("group", "it has to be \"all\" or \"zone\"".into());
                DedupGroup::All
            }
        };
        let ttl = table.ms("ttl_ms").unwrap_or(Duration::from_secs(5));
        let effect = match effect.as_str() {
            "idempotent" => Effect::Idempotent,
            "keyed" => Effect::Deduplicated { group, ttl },
            "at_most_once" => Effect::AtMostOnce,
            "" => Effect::AtMostOnce,
            _ => {
                table.fault("effect", "it has to be \"idempotent\", \"keyed\" or \"at_most_once\"".into());
                Effect::AtMostOnce
            }
        };
        let aim = table.ms("aim_ms").unwrap_or(Duration::from_millis(500));
        if aim.is_zero() {
            table.fault("aim_ms", "it has to be over 0".into());
        }
        let deadline = table.ms("deadline_ms").unwrap_or(aim * 3);
        if deadline < aim {
            table.fault("deadline_ms", "it has to be no less than aim_ms".into());
        }
        let worth = table.number("worth", 0.0, 1e6).unwrap_or(1.0);
        world.shares.push(table.number("share", 0.0, 1e9).unwrap_or(1.0));
        world.classes.push(Class {
            latency_objective: aim,
            deadline,
            value: worth,
            effect,
            ..Class::default()
        });
        table.done();
    }
    names
}

fn loads(reader: &mut Reader<'_>, world: &mut World) {
    let (capacity, tenants) = (world.capacity(), world.tenants);
    for mut table in Taken::list(reader, "load") {
        let shape: String = table.take("shape").unwrap_or_else(|| "poisson".into());
        let rate = match (table.number("rate", 0.0, 1e9), table.number("of_capacity", 0.0, 1e3)) {
            (Some(_), Some(_)) => {
                table.fault("rate", "rate or of_capacity, not both".into());
                0.0
            }
            (Some(rate), None) => rate,
            (None, Some(share)) => share * capacity,
            (None, None) if shape == "mmpp" => 1.0,
            (None, None) => {
                table.fault("rate", "rate or of_capacity is needed".into());
                0.0
            }
        };
        let tenant = table.number("tenant", 0.0, f64::from(tenants) - 1.0).map(|t| t as u32);
        let shape = match shape.as_str() {
            "poisson" => Shape::Poisson,
            "even" => Shape::Even,
            "diurnal" => Shape::Diurnal {
                period: table.seconds("period_s").unwrap_or(Duration::from_secs(60)),
                swing: table.number("swing", 0.0, 1.0).unwrap_or(0.5),
            },
            "between" => Shape::Between {
                from: table.seconds("from_s").unwrap_or_default(),
                to: table.seconds("to_s").unwrap_or(world.lasts),
            },
            "mmpp" => {
                let rates: Vec<f64> = table.needed("rates").unwrap_or_default();
                if rates.is_empty() || rates.len() > 1000 || !rates.iter().all(|r| (0.0..=1e9).contains(r)) {
                    table.fault("rates", "it has to be 1 to 1000 rates of 0 or more".into());
                }
                let hold = table.seconds("hold_s").unwrap_or(Duration::from_secs(4));
                if hold.is_zero() {
                    table.fault("hold_s", "it has to be over 0".into());
                }
                Shape::Mmpp { rates, hold }
            }
            _ => {
                let what = "it has to be \"poisson\", \"even\", \"diurnal\", \"between\" or \"mmpp\"";
                table.fault("shape", what.into());
                Shape::Poisson
            }
        };
        table.done();
        world.streams.push(Stream { rate, tenant, shape });
    }
}

fn ways(reader: &mut Reader<'_>, world: &mut World) {
    let base = World::default();
    let mut table = Taken::section(reader, "network");
    world.network = Network {
        near: table.time("near").unwrap_or(base.network.near),
        far: table.time("far").unwrap_or(base.network.far),
        connections: None,
    };
    table.done();
    if reader.has("connections") {
        let mut table = Taken::section(reader, "connections");
        world.network.connections = Some(Connections {
            work: table.number("work", 0.0, 100.0).unwrap_or(0.1),
            idle: table.seconds("idle_s").unwrap_or(Duration::from_secs(5)),
            most: table.number("most", 1.0, 1e9).map_or(usize::MAX, |n| n as usize),
        });
        table.done();
    }
    let mut table = Taken::section(reader, "discovery");
    world.discovery = Discovery {
        delay: table.time("delay").unwrap_or(base.discovery.delay),
        grace: table.seconds("grace_s").unwrap_or(base.discovery.grace),
    };
    table.done();
}
