//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use maplehook_golden::golden_types;
use maplehook_versions::common::Document;
use maplehook_versions::steps::{Command, Refused, Step, Steps, Version};

golden_types! {
    version: Json Version;
    version_by_position: Postcard Version;
    command: Postcard Command;
    refused: Postcard Refused;
    step: Postcard Step;
    steps: Postcard Steps;
}

#[test]
fn digests_are_as_they_were() {
    assert_eq!(
        maplehook_versions::steps::digest("one"),
        "7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed"
    );
    assert_eq!(Document::default().number, 0);
}
