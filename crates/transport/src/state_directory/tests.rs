use super::*;

fn opened(directory: &Path) -> (StateDirectory, Vec<String>) {
    let (state, problems) = StateDirectory::open(directory, &Name::new("b1").unwrap());
    (state, problems.iter().map(ToString::to_string).collect())
}

fn directory(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("maplehook-state-{}-{name}", std::process::id()))
}

#[test]
fn generation_is_recorded_and_directory_is_locked() {
    let path = directory("kept");
    let name = Name::new("b1").unwrap();
    let (first, problems) = opened(&path);
    assert!(problems.is_empty() && first.recorded.is_none() && !first.is_locked_elsewhere);
    record_generation(&path, &name, 77).unwrap();
    let (second, problems) = opened(&path);
    assert!(problems.is_empty() && second.is_locked_elsewhere, "the first one holds the lock");
    assert_eq!(second.recorded, Some(77));
    drop((first, second));
    assert!(!opened(&path).0.is_locked_elsewhere);
    fs::remove_dir_all(&path).unwrap();
}

/// The device stands for a disk without room: opening succeeds, and each write fails as it does there.
#[test]
fn full_disk_is_reported_and_keeps_the_previous_record() {
    let path = directory("full");
    let name = Name::new("b1").unwrap();
    fs::create_dir_all(&path).unwrap();
    record_generation(&path, &name, 77).unwrap();
    std::os::unix::fs::symlink("/dev/full", path.join(NEW_RECORD_FILE)).unwrap();
    assert_eq!(record_generation(&path, &name, 78).unwrap_err().kind(), io::ErrorKind::StorageFull);
    assert_eq!(opened(&path).0.recorded, Some(77));
    // There is room again.
    record_generation(&path, &name, 79).unwrap();
    assert_eq!(opened(&path).0.recorded, Some(79));
    fs::remove_dir_all(&path).unwrap();
}

#[test]
fn corrupt_record_or_missing_directory_is_reported_and_no_obstacle() {
    let path = directory("spoilt");
    fs::create_dir_all(&path).unwrap();
    fs::write(path.join(RECORD_FILE), "maplehook-start 1 b1 7").unwrap();
    let (state, problems) = opened(&path);
    assert!(state.recorded.is_none());
    assert!(problems.len() == 1 && problems[0].contains("cut short"), "{problems:?}");
    fs::remove_dir_all(&path).unwrap();
    fs::write(&path, "a file").unwrap();
    let (state, problems) = opened(&path);
    assert!(state.recorded.is_none() && !problems.is_empty());
    assert!(record_generation(&path, &Name::new("b1").unwrap(), 8).is_err());
    fs::remove_file(&path).unwrap();
}
