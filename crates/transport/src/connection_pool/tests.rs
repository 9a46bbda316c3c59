use super::*;

#[test]
fn successors_form_a_ring() {
    let names: Vec<Name> = ["a", "b", "c", "d"].map(|n| Name::new(n).unwrap()).into();
    let of = |n: usize| successors(&names[n], names.iter()).iter().map(|n| n.to_string()).collect::<String>();
    assert_eq!((of(0), of(2), of(3)), ("bc".into(), "da".into(), "ab".into()));
    assert_eq!(successors(&names[0], names[..2].iter()), [names[1].clone()]);
    assert!(successors(&names[0], names[..1].iter()).is_empty());
}
