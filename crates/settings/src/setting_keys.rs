//! Translates the path of an invalid setting into its wire key, so that an error names the key that
//! an operator finds in the configuration file.

/// The wire key of a setting that [`Settings::check`](kitefork_balancer::Settings::check) may
/// reject.
struct SettingKey {
    /// Path of the setting within `Settings`.
    setting: &'static str,
    /// Path of the JSON key from which the setting is read.
    wire_key: &'static str,
}

const SETTING_KEYS: [SettingKey; 6] = [
    SettingKey {
        setting: "tick",
        wire_key: "tickNs",
    },
    SettingKey {
        setting: "classes",
        wire_key: "grades",
    },
    SettingKey {
        setting: "tail_weight",
        wire_key: "goal.tail",
    },
    SettingKey {
        setting: "rules.slow_start_initial_capacity",
        wire_key: "rules.coldFrom",
    },
    SettingKey {
        setting: "rules.drain_close_within",
        wire_key: "rules.drainCloseNs",
    },
    SettingKey {
        setting: "rules.overload_duration",
        wire_key: "rules.fallNs",
    },
];

/// Returns the wire key of a setting, or the path of the setting itself if no key is listed.
pub(crate) fn wire_key_of(setting: &'static str) -> &'static str {
    SETTING_KEYS
        .iter()
        .find(|key| key.setting == setting)
        .map_or(setting, |key| key.wire_key)
}
