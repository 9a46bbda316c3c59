//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_golden::golden_types;
use maplehook_versions::{Command, CommandError, Phase, SharedDocument, Version, VersionState};

golden_types! {
    version: Json Version;
    version_by_position: Postcard Version;
    command: Postcard Command;
    refused: Postcard CommandError;
    step: Postcard Phase;
    steps: Postcard VersionState;
}

#[test]
fn digests_are_as_they_were() {
    assert_eq!(
        maplehook_versions::digest("one"),
        "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed"
    );
    assert_eq!(SharedDocument::default().number, 0);
}
