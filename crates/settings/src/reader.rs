//! Reader of typed keys from INI text that collects all errors.

use ini::Ini;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the file.
    pub file: SmolStr,
    /// Line number from 1, or `None` if the key is missing.
    pub line: Option<usize>,
    /// Section and key, such as `[fleet] token`.
    pub key: SmolStr,
    /// Expected and found value, or another description of the error.
    pub problem: SmolStr,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}: {}", self.file, self.key, self.problem),
            None => write!(f, "{}: {}: {}", self.file, self.key, self.problem),
        }
    }
}

/// All errors in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Reads keys one by one and collects errors, which [`close`](Self::close) returns.
pub struct SettingsReader {
    file: SmolStr,
    text: String,
    ini: Ini,
    /// Section and key of each key that was read so far.
    known: BTreeSet<(SmolStr, SmolStr)>,
    errors: Vec<SettingError>,
}

impl SettingsReader {
    /// Creates a reader of `text`, the content of `file`.
    ///
    /// # Errors
    /// The text is not valid INI.
    pub fn new(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let ini = Ini::load_from_str(text).map_err(|cause| {
            SettingsErrors(vec![SettingError {
                file: file.into(),
                line: Some(cause.line + 1),
                key: "syntax".into(),
                problem: format_smolstr!("expected [section] or key = value: {}", cause.msg),
            }])
        })?;
        Ok(Self {
            file: file.into(),
            text: text.into(),
            ini,
            known: BTreeSet::new(),
            errors: Vec::new(),
        })
    }

    /// Reads a key that must be present. Returns `None` after an error, which
    /// [`close`](Self::close) reports.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let value = self.optional(section, key, expected);
        if value.is_none() && self.text_of(section, key).is_none() {
            self.push_error(section, key, format_smolstr!("missing; expected {expected}"));
        }
        value
    }

    /// Reads an optional key. Returns `default` if it is missing, and also after an error.
    pub fn with_default<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        default: T,
    ) -> T {
        self.optional(section, key, expected).unwrap_or(default)
    }

    /// Reads a comma-separated list. Returns an empty list if the key is missing.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Vec<T> {
        self.known.insert((section.into(), key.into()));
        let Some(text) = self.text_of(section, key) else {
            return Vec::new();
        };
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(_) => {
                    self.push_error(
                        section,
                        key,
                        format_smolstr!("expected {expected}, found {part:?}"),
                    );
                }
            }
        }
        values
    }

    /// Returns the text of a key; `None` if it is missing or a placeholder of a template, `{{NAME}}`, that
    /// nothing filled in.
    fn text_of(&self, section: &str, key: &str) -> Option<SmolStr> {
        let text = self.ini.get_from(Some(section), key)?;
        let is_placeholder = text.starts_with("{{") && text.ends_with("}}");
        (!is_placeholder).then(|| SmolStr::new(text))
    }

    fn optional<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        self.known.insert((section.into(), key.into()));
        let text = self.text_of(section, key)?;
        let value = text.parse().ok();
        if value.is_none() {
            self.push_error(section, key, format_smolstr!("expected {expected}, found {text:?}"));
        }
        value
    }

    /// Adds an error about the value of a key.
    pub fn push_error(&mut self, section: &str, key: &str, problem: SmolStr) {
        let line = find_line(&self.text, section, key);
        let key = format_smolstr!("[{section}] {key}");
        self.errors.push(SettingError { file: self.file.clone(), line, key, problem });
    }

    /// Finishes reading. Keys in the file that were not read are errors.
    ///
    /// # Errors
    /// All errors, ordered by line number.
    pub fn close(mut self) -> Result<(), SettingsErrors> {
        let mut unknown = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            for (key, _) in properties.iter() {
                if !self.known.contains(&(section.into(), key.into())) {
                    unknown.push((SmolStr::new(section), SmolStr::new(key)));
                }
            }
        }
        for (section, key) in unknown {
            self.push_error(&section, &key, "unknown key".into());
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|error| error.line);
        Err(SettingsErrors(self.errors))
    }
}

/// Returns the line number of a key. The INI library does not report it.
fn find_line(text: &str, section: &str, key: &str) -> Option<usize> {
    let mut current = "";
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            current = name;
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or_default().trim();
        if current == section && name == key {
            return Some(index + 1);
        }
    }
    None
}
