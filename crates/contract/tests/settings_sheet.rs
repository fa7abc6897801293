//! Reading of settings: flags take precedence over the environment, and the environment over defaults.

use contract::settings::{List, Setting, SettingsReader};

static PORT: Setting = Setting {
    flag: "port",
    env: "GENTIAN_PORT",
    default: Some("80"),
    allowed: "1 to 65535",
    help: "Port.",
    secret: false,
};
static KEY: Setting = Setting {
    flag: "key",
    env: "GENTIAN_KEY",
    default: None,
    allowed: "a number",
    help: "Key.",
    secret: true,
};

#[test]
fn precedence_order() {
    let mut reader = SettingsReader::default();
    let env = |_: &str| Some("81".to_owned());
    assert_eq!(reader.read_from::<u16>(&PORT, Some("82"), env), Some(82));
    assert_eq!(reader.read_from::<u16>(&PORT, None, env), Some(81));
    assert_eq!(reader.read_from::<u16>(&PORT, None, |_| None), Some(80));
    reader.finish().unwrap();
}

#[test]
fn reports_all_errors() {
    let mut reader = SettingsReader::default();
    assert_eq!(reader.read_from::<u16>(&PORT, Some("many"), |_| None), None);
    assert_eq!(reader.read_from::<u16>(&KEY, Some("hunter2"), |_| None), None);
    let text = reader.finish().unwrap_err().to_string();
    assert!(text.contains("--port (GENTIAN_PORT): many"), "{text}");
    assert!(text.contains("--key (GENTIAN_KEY): ***"), "{text}");
    assert!(!reader.render().contains("hunter2"));
}

#[test]
fn comma_lists() {
    assert_eq!("1, 2,3".parse::<List<u8>>().unwrap(), List(vec![1, 2, 3]));
    "1,x".parse::<List<u8>>().unwrap_err();
}
