//! Forms that leave the process, as an earlier program wrote them: they are read and written as they were.

use crate::board::{Own, OwnProgram};
use crate::document::{Content, Document, Past, Watched};
use crate::shown::{Shown, ShownMember, ShownStage};
use crate::talk::{Preview, Reply, Say, Stands, What, Wish};
use maplehook_golden::golden_types;

golden_types! {
    own: Json Own;
    own_program: Json OwnProgram;
    shown: Json Shown;
    shown_member: Json ShownMember;
    shown_stage: Json ShownStage;
    past: Json Past;
    content: Postcard Content;
    watched: Postcard Watched;
    document: Postcard Document;
    what: Json What;
    wish: Json Wish;
    wish_by_position: Postcard Wish;
    preview: Json Preview;
    reply: Postcard Reply;
    report_of_a_member: Postcard Stands;
    message: Postcard Say;
}
