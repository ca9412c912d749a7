//! Keys: identification of callers, and secrecy of the keys.

use plantain_core::direct::customers::{
    CallerIdentity, CustomerFault, CustomerRule, CustomerTable,
    keys::{KEY_LIMIT, KeyDigest, KeyFault, PresentedKey},
};
use std::sync::Arc;

pub(super) fn rule(name: &str, keys: &[&str]) -> Arc<CustomerRule> {
    let digests = keys.iter().map(|key| KeyDigest::new(key.as_bytes()).expect("a key"));
    Arc::new(CustomerRule {
        name: name.into(),
        keys: digests.collect(),
        priority: None,
        limit: None,
    })
}

struct IdentityCase {
    name: &'static str,
    values: &'static [&'static [u8]],
    is_open: bool,
    /// Name of the customer; `Some("")` for a call that is admitted without one, `None` for a rejected call.
    holder: Option<&'static str>,
}

#[test]
fn a_key_identifies_its_customer() {
    let table = CustomerTable::new(vec![rule("temple", &["k1", "k2"]), rule("guide", &["k3"])]);
    let table = table.expect("a valid list of customers");
    let long = [b'k'; KEY_LIMIT + 1];
    let long: &'static [u8] = Box::leak(Box::new(long));
    let too_long: &'static [&'static [u8]] = Box::leak(Box::new([long]));
    let case = |name, values, is_open, holder| IdentityCase { name, values, is_open, holder };
    let cases = [
        case("a key", &[b"k1"], false, Some("temple")),
        case("another key of it", &[b"k2"], false, Some("temple")),
        case("another customer's key", &[b"k3"], false, Some("guide")),
        case("no key", &[], false, None),
        case("an empty key", &[b""], false, None),
        case("a key that nobody holds", &[b"k4"], false, None),
        case("a key in upper case", &[b"K1"], false, None),
        case("a key with a trailing space", &[b"k1 "], false, None),
        case("bytes that are not UTF-8", &[b"\xff\xfe"], false, None),
        case("the same key twice", &[b"k1", b"k1"], false, None),
        case("keys of two customers", &[b"k1", b"k3"], false, None),
        case("a key that is too long", too_long, false, None),
        case("no key on an open route", &[], true, Some("")),
        case("a wrong key on an open route", &[b"k4"], true, Some("")),
        case("two keys on an open route", &[b"k1", b"k3"], true, Some("")),
        case("a key on an open route", &[b"k3"], true, Some("guide")),
    ];
    for case in cases {
        let key = PresentedKey::new(case.values.iter().copied());
        let identity = table.identify(&key, case.is_open);
        let holder = identity.as_ref().map(|identity| match identity {
            CallerIdentity::Customer(rule) => &*rule.name,
            CallerIdentity::Anyone => "",
        });
        assert_eq!(holder, case.holder, "{}", case.name);
    }
    let key = PresentedKey::new([&b"k1"[..]].into_iter());
    let anonymous = CustomerTable::default().identify(&key, false);
    assert_eq!(
        anonymous,
        Some(CallerIdentity::Anyone),
        "without customers all callers are anonymous"
    );
}

struct TableCase {
    name: &'static str,
    rules: Vec<Arc<CustomerRule>>,
    fault: Option<CustomerFault>,
}

#[test]
fn ambiguous_customers_are_refused() {
    let cases = [
        TableCase { name: "one key twice", rules: vec![rule("a", &["k", "k"])], fault: None },
        TableCase { name: "no key", rules: vec![rule("a", &[]), rule("b", &["k"])], fault: None },
        TableCase {
            name: "one key of two customers",
            rules: vec![rule("a", &["k", "j"]), rule("b", &["j"])],
            fault: Some(CustomerFault::SharedKey("a".into(), "b".into())),
        },
        TableCase {
            name: "one name of two customers",
            rules: vec![rule("a", &["k"]), rule("a", &["j"])],
            fault: Some(CustomerFault::SameName("a".into())),
        },
    ];
    for case in cases {
        assert_eq!(CustomerTable::new(case.rules).err(), case.fault, "{}", case.name);
    }
}

#[test]
fn a_key_is_checked_and_never_written() {
    assert_eq!(KeyDigest::new(b"").err(), Some(KeyFault::Empty));
    assert_eq!(KeyDigest::new(&[b'x'; KEY_LIMIT + 1]).err(), Some(KeyFault::TooLong));
    assert!(KeyDigest::new(&[b'x'; KEY_LIMIT]).is_ok());
    let secret = "open-sesame-4711";
    let rule = rule("temple", &[secret]);
    let digest = rule.keys[0];
    let sent = postcard::to_allocvec(&*rule).expect("a message");
    let shown =
        format!("{rule:?} {digest:?} {} {}", digest.mark(7), String::from_utf8_lossy(&sent));
    assert!(!shown.contains("sesame"), "{shown}");
    assert_ne!(digest.mark(7), digest.mark(8), "marks of two processes differ");
    assert_eq!(digest.mark(7), KeyDigest::new(secret.as_bytes()).expect("a key").mark(7));
}
