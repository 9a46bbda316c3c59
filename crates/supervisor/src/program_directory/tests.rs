//! Tests of the program directory: a program is known by its digest alone.

use super::*;

#[test]
fn a_program_is_taken_by_its_digest_alone() {
    let place = std::env::temp_dir().join(format!("maplehook-programs-{}", std::process::id()));
    fs::create_dir_all(&place).unwrap();
    // FIPS 180-2, appendix B.1.
    let abc = ProgramDigest::new("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad").unwrap();
    let mut programs = ProgramDirectory::new(&place);
    assert!(programs.verified_path(&abc).unwrap_err().to_string().contains("No such file"));
    fs::write(place.join(abc.as_str()), "abc").unwrap();
    assert!(programs.verified_path(&abc).is_ok() && programs.verified_path(&abc).is_ok());
    // The same length, another content.
    fs::write(place.join(abc.as_str()), "abd").unwrap();
    assert!(programs.verified_path(&abc).unwrap_err().to_string().contains("its SHA-256 is"));
    fs::remove_dir_all(&place).unwrap();
}
