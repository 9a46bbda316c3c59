use super::*;

/// Guards against lost updates of the budget when several threads release bodies at the same time.
#[test]
fn reservations_can_be_released_on_any_thread() {
    let memory = BufferMemory::new(1 << 20);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..20_000 {
                    drop(
                        memory
                            .reserve(5000)
                            .map(|reservation| reservation.attach_to(Bytes::from_static(b"x")).clone()),
                    );
                }
            });
        }
    });
    assert_eq!(memory.available(), 1 << 20);
    let body = memory.reserve(1 << 20).unwrap().attach_to(Bytes::from_static(b"long"));
    assert!(memory.reserve(1).is_none() && memory.reserve_body(MAX_UNCOUNTED_BYTES).is_some());
    drop((body.slice(1..2), body));
    assert_eq!(memory.available(), 1 << 20);
}

/// Guards heads that grow while they are read: what is reserved for them follows, and is denied beyond the memory.
#[test]
fn a_reservation_grows_until_the_memory_is_used_up() {
    let memory = BufferMemory::new(10_000);
    let mut head = memory.empty_reservation();
    assert!(head.grow_to(4_000) && head.grow_to(3_000) && head.grow_to(9_000));
    assert_eq!((memory.available(), head.length()), (1_000, 9_000));
    assert!(!head.grow_to(10_001));
    assert_eq!((head.length(), memory.denied()), (9_000, 1));
    drop(head);
    assert_eq!(memory.available(), 10_000);
}
