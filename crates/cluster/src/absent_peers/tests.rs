use super::*;

#[test]
fn announces_back_off_and_stay_bounded() {
    let names: Vec<Name> = (0..120).map(|n| Name::new(&format!("b{n}")).unwrap()).collect();
    let mut absent = AbsentPeers::new(names.iter().cloned(), || 0.5);
    let (mut announces, mut late) = (0, 0);
    let mut announced_to = std::collections::BTreeSet::new();
    for tick in 0..6000u64 {
        let due = absent.take_due(Duration::from_millis(tick * 100), || 0.5);
        assert!(due.len() <= MAX_ANNOUNCES_AT_ONCE);
        announced_to.extend(due.iter().cloned());
        announces += due.len();
        late += if tick >= 3000 { due.len() } else { 0 };
        if tick == 30 {
            assert_eq!(announced_to.len(), 120, "every peer is announced to once within 3 s");
        }
    }
    // 300 s at one announce each 30 s to each of 120.
    assert!((1000..=1400).contains(&late), "{late} of {announces}");
    absent.on_member_up(&names[3]);
    assert!((0..100).all(|n| !absent.take_due(Duration::from_secs(700 + n), || 0.1).contains(&names[3])));
    absent.on_member_down(Duration::from_secs(900), &names[3]);
    let due = absent.take_due(Duration::from_secs(900), || 0.5);
    assert!(!due.contains(&names[3]), "not at once");
}
