//! Documents of registries: golden ones as the public pages show them, in both notations and with the quirks that
//! real servers have; and any text at all.

use maplehook_endpoints::InstanceStatus;
use maplehook_eureka::model::{Action, Mapping, Notation, hash, read};
use maplehook_eureka::{Mirror, Node, Step};
use proptest::prelude::*;

/// As servers write it: ports as objects, numbers as texts, one instance as an object.
const ONE: &str = r#"{"applications":{"versions__delta":"1","apps__hashcode":"UP_1_","application":{"name":"DESKS",
"instance":{"instanceId":"host-1:desks:9001","hostName":"host-1.example","app":"DESKS","ipAddr":"127.0.0.1","status":"UP",
"overriddenStatus":"UNKNOWN","port":{"$":9001,"@enabled":"true"},"securePort":{"$":443,"@enabled":"false"},"countryId":1,
"dataCenterInfo":{"@class":"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo","name":"MyOwn"},
"leaseInfo":{"renewalIntervalInSecs":30,"durationInSecs":90,"registrationTimestamp":1700000000000},
"metadata":{"@class":"java.util.Collections$EmptyMap","zone":"a","weight":"2.5","cell":"7","boot":"1700000000001","odd":{"x":1}},
"vipAddress":"desks,desks-old","isCoordinatingDiscoveryServer":"false","lastUpdatedTimestamp":"1700000000500",
"lastDirtyTimestamp":"1700000000400","actionType":"ADDED","asgName":null}}}}"#;

const MANY_XML: &str = r#"<?xml version="1.0" encoding="UTF-8"?>
<applications>
  <versions__delta>3</versions__delta>
  <apps__hashcode>DOWN_1_OUT_OF_SERVICE_1_UP_1_</apps__hashcode>
  <application>
    <name>DESKS</name>
    <instance><instanceId>a</instanceId><hostName>127.0.0.1</hostName><ipAddr>127.0.0.1</ipAddr><status>UP</status>
      <port enabled="true">9001</port><securePort enabled="true">9443</securePort>
      <metadata><zone>a &amp; b</zone></metadata><lastDirtyTimestamp>5</lastDirtyTimestamp></instance>
    <instance><instanceId>b</instanceId><hostName>[::1]</hostName><ipAddr>::1</ipAddr><status>DOWN</status>
      <port enabled="true">9002</port><metadata class="java.util.Collections$EmptyMap"/></instance>
    <instance><instanceId>c</instanceId><hostName>desk.example</hostName><status>OUT_OF_SERVICE</status>
      <overriddenstatus>OUT_OF_SERVICE</overriddenstatus><port enabled="false">9003</port></instance>
  </application>
  <application><name>EMPTY</name></application>
</applications>"#;

fn json(text: &str) -> maplehook_eureka::model::Document {
    read(text.as_bytes(), Notation::Json, &Mapping::default()).unwrap()
}

/// Guards large fleets (postmortem 81-lists-turned-down): 3,200 instances are read in either notation, on one line and
/// indented.
#[test]
fn the_largest_fleet_is_read_however_its_text_is_spelt() {
    const FLEET: usize = 3200;
    let (json_head, json_end) = ONE.split_once(r#""instance":"#).unwrap();
    let json_instance = json_end.strip_suffix("}}}").unwrap();
    let instances: Vec<String> =
        (0..FLEET).map(|n| json_instance.replace("host-1:desks:9001", &format!("host-{n}"))).collect();
    let whole_json = format!(r#"{json_head}"instance":[{}]}}}}}}"#, instances.join(","));
    let xml_instance = |n: usize| {
        format!(
            "<instance><instanceId>host-{n}</instanceId><hostName>127.0.0.1</hostName><ipAddr>127.0.0.1</ipAddr>\
             <status>UP</status><port enabled=\"true\">9001</port></instance>"
        )
    };
    let instances: String = (0..FLEET).map(xml_instance).collect();
    let whole_xml =
        format!("<applications><application><name>DESKS</name>{instances}</application></applications>");
    for indent in ["", "\n        "] {
        let json_text = whole_json.replace("\",", &format!("\",{indent}"));
        let xml_text = whole_xml.replace("><", &format!(">{indent}<"));
        for (text, notation) in [(json_text, Notation::Json), (xml_text, Notation::Xml)] {
            let document = read(text.as_bytes(), notation, &Mapping::default()).unwrap();
            assert_eq!((document.instances.len(), document.skipped), (FLEET, 0), "{notation:?}");
        }
    }
}

/// Guards the reading of what servers really write.
#[test]
fn golden_documents_are_read() {
    let document = json(ONE);
    assert_eq!((document.hash.as_deref(), document.version.as_deref()), (Some("UP_1_"), Some("1")));
    let listed = &document.instances[0];
    assert_eq!((listed.app.as_str(), listed.vips.len(), listed.action), ("DESKS", 2, Some(Action::Added)));
    let instance = &listed.instance;
    assert_eq!(
        (instance.key.as_str(), instance.status, instance.version),
        ("host-1:desks:9001", InstanceStatus::Up, 1_700_000_000_500)
    );
    assert_eq!(
        (instance.address, instance.boot_ms),
        (Some("127.0.0.1:9001".parse().unwrap()), 1_700_000_000_001)
    );
    assert_eq!((instance.weight, instance.labels["zone"].as_str()), (2.5, "a"));
    let document = read(MANY_XML.as_bytes(), Notation::Xml, &Mapping::default()).unwrap();
    let words: Vec<InstanceStatus> = document.instances.iter().map(|l| l.instance.status).collect();
    assert_eq!(words, [InstanceStatus::Up, InstanceStatus::Down, InstanceStatus::OutOfService]);
    assert_eq!(document.instances[0].instance.labels["zone"], "a & b");
    assert_eq!(document.instances[1].instance.address, Some("[::1]:9002".parse().unwrap()));
    assert_eq!(document.instances[2].instance.address, None, "its port is disabled");
    assert_eq!(document.instances[2].hostname.as_deref(), Some("desk.example"));
    assert_eq!(hash(document.instances.iter().map(|l| l.status.as_str())), document.hash.unwrap());
    let secure = Mapping { secure: true, ..Mapping::default() };
    let document = read(MANY_XML.as_bytes(), Notation::Xml, &secure).unwrap();
    assert_eq!(document.instances[0].instance.address, Some("127.0.0.1:9443".parse().unwrap()));
}

/// Guards the quirks: an array or an object, an override that the status does not show, a missing id, a port without
/// a word on whether it is enabled.
#[test]
fn quirks_are_read() {
    let document = json(
        r#"{"application":[{"name":"x","instance":[{"hostName":"127.0.0.1","status":"up","overriddenstatus":"DOWN","port":9001},
        {"hostName":"127.0.0.1","status":"UP","port":{"$":"9002","@enabled":true}},{"status":"UP"},7,
        {"instanceId":"s","status":"SLEEPING","ipAddr":"127.0.0.1","port":{"$":70000}}]}]}"#,
    );
    assert_eq!((document.instances.len(), document.skipped), (3, 2));
    assert_eq!(document.instances[0].instance.status, InstanceStatus::Down);
    assert_eq!(document.instances[0].instance.key, "127.0.0.1:X:9001");
    assert_eq!(document.instances[1].instance.address.unwrap().port(), 9002);
    assert_eq!(
        (document.instances[2].instance.status, document.instances[2].instance.address),
        (InstanceStatus::Unknown, None)
    );
    let one =
        json(r#"{"instance":{"instanceId":"a","status":"STARTING","ipAddr":"127.0.0.1","port":{"$":1}}}"#);
    assert_eq!(one.instances[0].instance.status, InstanceStatus::Starting);
    assert!(json(r#"{"applications":{"application":[]}}"#).instances.is_empty());
    // What is no registry's document is an error, and not a list of nobody.
    for wrong in ["", "{}", "[]", "null", "{\"error\":1}", "<html/>", "{\"applications\""] {
        assert!(read(wrong.as_bytes(), Notation::Json, &Mapping::default()).is_err(), "{wrong}");
        assert!(read(wrong.as_bytes(), Notation::Xml, &Mapping::default()).is_err(), "{wrong}");
    }
}

fn changes(hash: &str, entries: &[(&str, &str, u64, &str)]) -> maplehook_eureka::model::Document {
    let instances: Vec<String> = entries
        .iter()
        .map(|(id, status, version, action)| {
            format!(
                r#"{{"instanceId":"{id}","ipAddr":"127.0.0.1","port":{{"$":1}},"status":"{status}","lastUpdatedTimestamp":"{version}","actionType":"{action}"}}"#
            )
        })
        .collect();
    json(&format!(
        r#"{{"applications":{{"apps__hashcode":"{hash}","application":[{{"name":"A","instance":[{}]}}]}}}}"#,
        instances.join(",")
    ))
}

/// Guards the list against changes that were missed, repeated, or came in another order.
#[test]
fn changes_are_held_against_the_hash() {
    let mut mirror = Mirror::default();
    assert!(mirror.whole(&changes("UP_2_", &[("a", "UP", 1, "ADDED"), ("b", "UP", 1, "ADDED")])));
    let down = changes("DOWN_1_UP_1_", &[("a", "DOWN", 2, "MODIFIED")]);
    let Step::Agreed { changed, deleted } = mirror.change(down.clone()) else { panic!("it agrees") };
    assert_eq!((changed.len(), changed[0].instance.status, deleted.len()), (1, InstanceStatus::Down, 0));
    assert_eq!(mirror.change(down), Step::Agreed { changed: vec![], deleted: vec![] }, "repeated");
    let older = changes("DOWN_1_UP_1_", &[("a", "UP", 1, "ADDED")]);
    assert_eq!(mirror.change(older), Step::Agreed { changed: vec![], deleted: vec![] }, "older");
    let gone = changes("DOWN_1_UP_1_", &[("b", "UP", 3, "DELETED"), ("c", "UP", 3, "ADDED")]);
    let Step::Agreed { changed, deleted } = mirror.change(gone) else { panic!("it agrees") };
    assert_eq!((changed[0].instance.key.as_str(), &deleted[..]), ("c", &[("b".to_owned(), 3)][..]));
    // One was missed: the hash tells.
    assert!(mirror.is_whole());
    assert_eq!(mirror.change(changes("DOWN_1_UP_2_", &[])), Step::Disagreed);
    assert!(!mirror.is_whole());
    assert!(!mirror.whole(&changes("UP_4711_", &[("a", "UP", 1, "ADDED")])), "a wrong hash is told");
}

/// A document as the tree sees it, written in both notations.
fn node() -> impl Strategy<Value = serde_json::Value> {
    let text = "[a-zA-Z0-9<>&\"' .:]{0,12}".prop_map(serde_json::Value::from);
    text.prop_recursive(4, 40, 6, |inner| {
        prop::collection::btree_map("[a-z]{1,8}", inner, 1..6)
            .prop_map(|fields| serde_json::Value::Object(fields.into_iter().collect()))
    })
}

fn xml(name: &str, value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Object(fields) => {
            let inner: String = fields.iter().map(|(name, value)| xml(name, value)).collect();
            format!("<{name}>{inner}</{name}>")
        }
        value => {
            let text = value.as_str().unwrap_or_default();
            let text = text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
            format!("<{name}>{text}</{name}>")
        }
    }
}

proptest! {
    /// Guards the balancer against whatever a registry sends: an error or a document, and no panic.
    #[test]
    fn any_text_is_a_document_or_an_error(text in ".{0,400}", cut in 0..900_usize, byte in any::<u8>()) {
        for notation in [Notation::Json, Notation::Xml] {
            let _ = read(text.as_bytes(), notation, &Mapping::default());
            let mut golden = if notation == Notation::Json { ONE } else { MANY_XML }.as_bytes().to_vec();
            let at = cut % golden.len();
            golden[at] = byte;
            let _ = read(&golden, notation, &Mapping::default());
            golden.truncate(at);
            prop_assert!(read(&golden, notation, &Mapping::default()).is_err(), "half a document is none");
        }
    }

    /// Guards the one reader behind both notations.
    #[test]
    fn both_notations_are_one_tree(value in node()) {
        let document = serde_json::json!({ "root": value });
        let by_json = Node::from_json(document.to_string().as_bytes()).unwrap();
        let by_xml = Node::from_xml(xml("root", &document["root"]).as_bytes()).unwrap();
        fn same(a: &Node, b: &Node) -> bool {
            match (a, b) {
                (Node::Children(a), Node::Children(b)) => {
                    a.len() == b.len() && a.iter().zip(b).all(|((n, a), (m, b))| n == m && same(a, b))
                }
                (a, b) => a.text() == b.text(),
            }
        }
        prop_assert!(same(&by_json, &by_xml), "{by_json:?} {by_xml:?}");
    }
}
