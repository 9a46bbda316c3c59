//! What the split comes to over many balancers; `--nocapture` prints the table of `docs/design/sharing.md`.

mod fleet;

use fleet::{CALM, Fleet, Net, ROUGH};
use maplehook_quota::split::Settings;
use maplehook_quota::{Ask, Key, Kind, Member};

const KEY: Key = Key { kind: Kind::Tenant, subject: 5 };
const COLD: Key = Key { kind: Kind::Cold, subject: 6 };
const SEED: u64 = 29;

fn begun() -> Settings {
    Settings { earlier: false, ..Settings::default() }
}

fn places(n: usize) -> Vec<usize> {
    let mut places = vec![1, 2, n / 2, n];
    places.dedup();
    places
}

/// Traffic at some of the balancers: what is served of what is asked within the guarantee.
fn placed(net: fn() -> Net, name: &str, least: f64) {
    for n in [4, 16, 120] {
        for k in places(n) {
            let mut fleet = Fleet::new(n, net(), SEED, begun());
            fleet.place(KEY, &(0..k).collect::<Vec<_>>(), 1.0);
            let rise = fleet.watch(20_000, KEY);
            let bytes = fleet.bytes;
            let seen = fleet.watch(20_000, KEY);
            println!(
                "| {name} | {n} | {k} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} |",
                (k as f64 / n as f64).min(1.0),
                seen.part(),
                rise.part(),
                seen.peak.max(rise.peak),
                (fleet.bytes - bytes) as f64 / 20.0 / n as f64,
            );
            assert!(seen.part() >= least, "{n} {k}: {}", seen.part());
            assert!(seen.peak.max(rise.peak) <= 1.05 + 1e-6);
        }
    }
}

#[test]
fn traffic_at_some_balancers() {
    placed(|| CALM, "calm", 0.99);
}

#[test]
fn traffic_at_some_balancers_on_a_rough_network() {
    placed(|| ROUGH, "30 % lost", 0.95);
}

/// Demand past everything, everywhere: what all grant of the spare room and of a cold upstream's allowance.
#[test]
fn room_and_allowance_are_granted_once() {
    for n in [4, 16, 120] {
        for (kind, most) in [(Kind::Room, 1.05), (Kind::Cold, 1.0)] {
            let key = Key { kind, subject: 1 };
            let mut fleet = Fleet::new(n, ROUGH, SEED, begun());
            let mut peak = 0f64;
            for round in 0..3 {
                // All of it, now at some, now at others, and always too much.
                let k = if round % 2 == 0 { n } else { n / 4 };
                let at: Vec<usize> = (0..k).map(|m| (m * 3 + round) % n).collect();
                fleet.place(key, &at, 3.0 * k as f64);
                peak = peak.max(fleet.watch(20_000, key).peak);
                fleet.end(round % n);
                peak = peak.max(fleet.watch(1_000, key).peak);
                fleet.begin(round % n);
            }
            println!("| {kind:?} | {n} | {peak:.3} |");
            assert!(peak <= most + 1e-6, "{kind:?} {n}: {peak}");
        }
    }
}

/// One balancer has all the traffic and is cut off, in whole or one way only; then it is not.
#[test]
fn a_minority_of_one_goes_back_to_its_part_and_forward_again() {
    type Cut = fn(usize, usize) -> bool;
    let cuts: [(&str, Cut); 4] = [
        ("cut off", |a, b| (a == 0) != (b == 0)),
        ("deaf", |_, b| b == 0),
        ("mute", |a, _| a == 0),
        ("halves", |a, b| (a < 8) != (b < 8)),
    ];
    for (name, cut) in cuts {
        let mut fleet = Fleet::new(16, CALM, SEED, begun());
        fleet.place(KEY, &[0], 1.0);
        fleet.watch(15_000, KEY);
        fleet.cut = Box::new(cut);
        let lease = fleet.watch(11_000, KEY);
        let during = fleet.watch(10_000, KEY);
        fleet.cut = Box::new(|_, _| false);
        let back = fleet.watch(5_000, KEY);
        let after = fleet.watch(10_000, KEY);
        println!(
            "| {name} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} |",
            lease.part(),
            during.part(),
            back.part(),
            after.part(),
            lease.peak.max(during.peak).max(back.peak),
            lease.jump.max(back.jump),
        );
        let kept = if name == "halves" { 0.5 } else { 1.0 / 16.0 };
        assert!((during.part() - kept).abs() < 0.01, "{name}: {}", during.part());
        assert!(after.part() >= 0.99, "{name}: {}", after.part());
        assert!(lease.peak.max(during.peak).max(back.peak) <= 1.05 + 1e-6);
        // A lease's last quarter has 25 ticks, and the whole is taken up in 20.
        assert!(lease.jump <= 0.045 && back.jump <= 0.055, "{name}: {} {}", lease.jump, back.jump);
    }
}

#[test]
fn much_of_the_tier_goes_at_once_and_is_back() {
    for n in [16, 120] {
        let mut fleet = Fleet::new(n, ROUGH, SEED, begun());
        fleet.place(KEY, &[0, 1], 1.0);
        fleet.watch(15_000, KEY);
        let gone = n * 44 / 100;
        (n - gone..n).for_each(|m| fleet.end(m));
        let lost = fleet.watch(10_000, KEY);
        (n - gone..n).for_each(|m| fleet.begin(m));
        let back = fleet.watch(12_000, KEY);
        let after = fleet.watch(10_000, KEY);
        let peak = lost.peak.max(back.peak).max(after.peak);
        println!("| {n} | {:.3} | {:.3} | {:.3} | {peak:.3} |", lost.part(), back.part(), after.part());
        assert!(peak <= 1.05 + 1e-6 && after.part() >= 0.9);
    }
}

/// A tenant that is somewhere else every half second, and one that moves once.
#[test]
fn a_tenant_that_hops() {
    for n in [4, 16, 120] {
        for (every, moves) in [(500, 120), (30_000, 3)] {
            let mut fleet = Fleet::new(n, CALM, SEED, begun());
            fleet.watch(2_000, KEY);
            let (mut served, mut within, mut peak) = (0.0, 0.0, 0f64);
            let mut at = 0;
            for _ in 0..moves {
                // Always another one.
                at = (at + fleet.rng.usize(1..n)) % n;
                fleet.place(KEY, &[at], 1.0);
                let seen = fleet.watch(every, KEY);
                (served, within, peak) = (served + seen.served, within + seen.within, peak.max(seen.peak));
            }
            println!(
                "| every {every} ms | {n} | {:.3} | {:.3} | {peak:.3} |",
                1.0 / n as f64,
                served / within
            );
            assert!(peak <= 1.05 + 1e-6);
            let least = if every < 1_000 { 0.9 / n as f64 } else { 0.85 };
            assert!(served / within >= least, "{n}, every {every} ms: {}", served / within);
        }
    }
}

/// Some lend nothing and ask all others for everything, again and again; a tenant whose traffic needs its equal part has it
/// elsewhere, and one that needs more has its fair part of what can be lent.
#[test]
fn members_that_want_everything() {
    let own = Key { kind: Kind::Tenant, subject: 8 };
    for liars in [1, 3, 8] {
        let n = 16;
        let mut fleet = Fleet::new(n, CALM, SEED, begun());
        (n - liars..n).for_each(|liar| fleet.end(liar));
        fleet.place(KEY, &[0, 1], 1.0);
        fleet.place(own, &(0..n - liars).collect::<Vec<_>>(), (n - liars) as f64 / n as f64);
        let (mut lent, mut needed, mut within) = (0.0, 0.0, 0.0);
        for second in 1..=60u64 {
            for (honest, liar, key) in
                (0..n - liars).flat_map(|a| (n - liars..n).flat_map(move |b| [(a, b, KEY), (a, b, own)]))
            {
                let (from, to) =
                    (Member { id: liar as u64, start: 1 }, Member { id: honest as u64, start: 1 });
                let ask = Ask { from, to, key, number: second, want: u32::MAX, held: u32::MAX };
                let now = fleet.now;
                fleet.nodes[honest].split.as_mut().unwrap().asked(now, &ask);
            }
            let whole = (n - liars) as f64 / n as f64;
            fleet.run(second * 1_000, &[KEY, own], |now, key, served, _| match key == KEY {
                _ if now <= 30_000 => {}
                true => lent += served,
                false => (needed, within) = (needed + served, within + whole),
            });
        }
        let (lent, needed) = (lent / 300.0, needed / within);
        // Two equal parts, and of each lender's two parts in (liars + 2).
        let fair = (2.0 + 2.0 * (n - liars - 2) as f64 / (liars + 2) as f64) / n as f64;
        println!("| {liars} | {needed:.3} | {lent:.3} | {fair:.3} |");
        assert!(needed >= 0.999 && lent >= fair * 0.9, "{liars}: {needed} {lent} {fair}");
    }
}

/// The tier is doubled one after another; each states the number it was started with. Where all state the number that there
/// will be, the bound stands; else the sum is that of the equal parts.
#[test]
fn a_roll_out_that_doubles_the_tier() {
    for (stated, most) in [(8, 1.5), (16, 1.0)] {
        let mut fleet = Fleet::new(16, CALM, SEED, Settings { balancers: 16, ..begun() });
        (0..16).for_each(|n| fleet.end(n));
        (0..8).for_each(|n| fleet.begin_with(n, Settings { balancers: stated, ..begun() }));
        fleet.watch(10_000, COLD);
        fleet.place(COLD, &(0..16).collect::<Vec<_>>(), 16.0);
        let mut peak = fleet.watch(2_000, COLD).peak;
        for n in (8..16).chain(0..8) {
            fleet.end(n);
            fleet.begin(n);
            peak = peak.max(fleet.watch(1_500, COLD).peak);
        }
        peak = peak.max(fleet.watch(14_000, COLD).peak);
        println!("| {stated}, then 16 | {peak:.3} |");
        assert!(peak <= most + 1e-6, "{stated}: {peak}");
    }
}

/// Ten thousand tenants, each with all its traffic at one balancer.
#[test]
fn ten_thousand_tenants() {
    let tenants = 10_000u64;
    for asks_most in [2_048, 8_192] {
        let mut fleet = Fleet::new(16, CALM, SEED, Settings { asks_most, ..begun() });
        fleet.tick = 500;
        let keys: Vec<Key> = (0..tenants).map(|subject| Key { kind: Kind::Tenant, subject }).collect();
        for key in &keys {
            fleet.place(*key, &[key.subject as usize % 16], 0.5);
        }
        fleet.run(9_000, &keys, |_, _, _, _| {});
        let (mut served, mut within, bytes) = (0.0, 0.0, fleet.bytes);
        fleet.run(14_000, &keys, |_, _, one, may| {
            (served, within) = (served + one, within + 0.5);
            assert!(may <= 1.05 + 1e-6);
        });
        let size = fleet.nodes[0].split.as_ref().unwrap().size();
        assert!(served / within >= if asks_most > 8_000 { 0.99 } else { 0.5 });
        println!(
            "| {asks_most} | {:.3} | {:.3} | {:.0} | {size:?} |",
            2.0 / 16.0,
            served / within,
            (fleet.bytes - bytes) as f64 / 5.0 / 16.0
        );
    }
}
