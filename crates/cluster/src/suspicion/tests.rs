use super::*;

#[test]
fn deadline_falls_with_each_reporter_and_never_below_the_minimum() {
    let period = Duration::from_millis(500);
    let name = |n: usize| Name::new(&format!("b{n}")).unwrap();
    for members in [2, 3, 8, 120, 1000] {
        let (least, longest) = timeout_bounds(members, period);
        let mut suspicion = Suspicion::new(Duration::ZERO, 0, name(0));
        assert_eq!(suspicion.deadline(members, period), longest);
        let mut before = longest;
        for n in 0..10 {
            suspicion.confirm(&name(n % 6));
            let now = suspicion.deadline(members, period);
            assert!(now <= before && now >= least, "{members} members, {n}: {now:?}");
            before = now;
        }
        assert!(before < least + Duration::from_millis(1), "{members}: {before:?}");
    }
}

#[test]
fn reporter_counts_once() {
    let (one, period) = (Name::new("a").unwrap(), Duration::from_millis(500));
    let mut suspicion = Suspicion::new(Duration::ZERO, 0, one.clone());
    let alone = suspicion.deadline(8, period);
    (0..5).for_each(|_| suspicion.confirm(&one));
    assert_eq!(suspicion.deadline(8, period), alone);
}
