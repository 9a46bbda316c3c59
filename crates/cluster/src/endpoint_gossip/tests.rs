use super::*;
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn announcement(upstream: u64, origin: u64, sequence: u64, drained: bool, age_ms: u32) -> Announcement {
    Announcement {
        claim: EndpointClaim { upstream, boot_ms: sequence % 3, is_draining: drained },
        origin,
        sequence,
        age_ms,
    }
}

fn announcements() -> impl Strategy<Value = Vec<Announcement>> {
    // An origin and a sequence number give one announcement; only the age differs from copy to copy.
    let one = (0u64..3, 0u64..4, 0u64..4, 0u32..16_000)
        .prop_map(|(u, t, s, age)| announcement(u, t, s, (u + t + s) % 2 == 0, age));
    prop::collection::vec(one, 0..40)
}

proptest! {
    /// Any order and any repeats come to the same.
    #[test]
    fn merging_is_commutative_and_idempotent(announcements in announcements(), seed in any::<u64>()) {
        let mut straight = AnnouncementStore::default();
        announcements.iter().for_each(|w| { straight.merge(NOW, *w); });
        let mut shuffled: Vec<Announcement> = announcements.iter().chain(&announcements).copied().collect();
        let mut state = seed;
        for n in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(n, (state >> 33) as usize % (n + 1));
        }
        let mut other = AnnouncementStore::default();
        shuffled.iter().for_each(|w| { other.merge(NOW, *w); });
        let sorted = |announcements: &AnnouncementStore| {
            let mut all = announcements.announcements(NOW);
            all.sort_by_key(|w| (w.claim.upstream, w.origin));
            all
        };
        prop_assert_eq!(sorted(&straight), sorted(&other));
    }

    #[test]
    fn announcement_round_trips_through_its_wire_form(u in any::<u64>(), t in any::<u64>(), s in any::<u64>(), age in any::<u32>()) {
        let mut bytes = announcement(u, t, s, s % 2 == 1, age).encode();
        prop_assert_eq!(bytes.len(), ANNOUNCEMENT_BYTES);
        bytes.push(7);
        prop_assert_eq!(Announcement::decode(&bytes), Some(announcement(u, t, s, s % 2 == 1, age)));
        prop_assert_eq!(Announcement::decode(&bytes[..ANNOUNCEMENT_BYTES - 1]), None);
    }
}

/// Guards against announcements that keep one another alive: without sequence numbers each round would make them younger.
#[test]
fn circulating_announcement_expires() {
    let (mut a, mut b) = (AnnouncementStore::default(), AnnouncementStore::default());
    a.merge(Duration::ZERO, announcement(1, 1, 1, true, 0));
    for step in 1..200u64 {
        let now = Duration::from_millis(step * 100);
        // 90 ms on its way, of which nobody knows.
        let late = now + Duration::from_millis(90);
        for w in a.announcements(now) {
            b.merge(late, w);
        }
        for w in b.announcements(now) {
            a.merge(late, w);
        }
        a.expire(late);
        b.expire(late);
    }
    assert!(a.announcements(ANNOUNCEMENT_TTL).is_empty() && b.announcements(ANNOUNCEMENT_TTL).is_empty());
}

#[test]
fn drain_is_reannounced_by_one_origin() {
    let claim = EndpointClaim { upstream: 9, boot_ms: 5, is_draining: true };
    let mut announcements = AnnouncementStore::default();
    assert_eq!(announcements.due_claims(NOW, 1, &[claim]), [claim]);
    let announced = announcements.announce(1, 1000, claim);
    assert!(announcements.merge(NOW, announced));
    assert!(announcements.due_claims(NOW, 1, &[claim]).is_empty());
    assert!(announcements.due_claims(NOW, 2, &[claim]).is_empty(), "another origin need not announce it too");
    let later = NOW + REANNOUNCE_INTERVAL.mul_f64(1.25);
    assert_eq!(announcements.due_claims(later, 2, &[claim]), [claim]);
    let started = EndpointClaim { is_draining: false, boot_ms: 6, ..claim };
    assert_eq!(announcements.due_claims(NOW, 2, &[started]), [started], "a later start is news");
    // A clock that stands still does not keep an announcement from being newer.
    assert!(announcements.announce(1, 1000, claim).sequence > announced.sequence);
}

#[test]
fn store_is_bounded() {
    let mut announcements = AnnouncementStore::default();
    for n in 0..MAX_UPSTREAMS as u64 + 10 {
        announcements.merge(NOW, announcement(n, 1, 1, true, 0));
    }
    for origin in 0..100 {
        announcements.merge(NOW, announcement(3, origin, 1, true, 0));
    }
    assert_eq!(announcements.rejected(), 10);
    assert!(announcements.announcements(NOW).len() <= MAX_UPSTREAMS + MAX_ANNOUNCEMENTS_PER_UPSTREAM);
    // A drain is not replaced by announcements that say less.
    let mut announcements = AnnouncementStore::default();
    announcements.merge(NOW, announcement(1, 0, 1, true, 9000));
    for origin in 1..20 {
        announcements.merge(NOW, announcement(1, origin, 1, false, 0));
    }
    assert!(announcements.endpoints()[0].drained_until.is_some());
}
