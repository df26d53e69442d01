//! Typed access to an INI file that gathers faults and knows which keys were asked for.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use ini::{Ini, ParseOption};
use shallotlead_admin::key::Operator;
use shallotlead_base::code::Code;

use crate::settings::{
    KEY_BYTES,
    error::{Error, Errors},
    seed::Seed,
};

const MAX_NAME: usize = 63;

/// Reads values by section and key.
#[derive(Debug)]
pub(crate) struct Reader {
    file: PathBuf,
    values: BTreeMap<Place, Vec<String>>,
    sections: BTreeSet<String>,
    known: BTreeMap<&'static str, BTreeSet<&'static str>>,
    errors: Vec<Error>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    section: String,
    key: String,
}

impl Reader {
    /// Splits `text` into sections and keys.
    pub(crate) fn open(file: &Path, text: &str) -> Result<Self, Errors> {
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, option).map_err(|err| Error {
            code: Code::SettingsUnreadable,
            file: file.to_path_buf(),
            section: String::new(),
            key: String::new(),
            expected: "an INI file".to_owned(),
            found: Some(err.to_string()),
        })?;
        let mut values = BTreeMap::<Place, Vec<String>>::new();
        let mut sections = BTreeSet::new();
        for (section, properties) in &ini {
            sections.extend(section.map(str::to_owned));
            for (key, value) in properties {
                let section = section.unwrap_or_default().to_owned();
                let place = Place { section, key: key.to_owned() };
                values.entry(place).or_default().push(value.to_owned());
            }
        }
        Ok(Self {
            file: file.to_path_buf(),
            values,
            sections,
            known: BTreeMap::new(),
            errors: Vec::new(),
        })
    }

    /// Ends the reading: every key that was never asked for is unknown.
    pub(crate) fn close(mut self) -> Result<(), Errors> {
        for section in std::mem::take(&mut self.sections) {
            if !self.known.contains_key(section.as_str()) {
                let expected = one_of("section", self.known.keys().copied());
                self.fault(Code::SettingUnknown, &section, "", &expected, Some(section.clone()));
            }
        }
        for place in std::mem::take(&mut self.values).into_keys() {
            let expected = match self.known.get(place.section.as_str()) {
                Some(keys) if keys.contains(place.key.as_str()) => continue,
                Some(keys) => one_of("key", keys.iter().copied()),
                None if place.section.is_empty() => "a section before the first key".to_owned(),
                // Reported above, with the section.
                None => continue,
            };
            let found = Some(place.key.clone());
            self.fault(Code::SettingUnknown, &place.section, &place.key, &expected, found);
        }
        if self.errors.is_empty() { Ok(()) } else { Err(Errors(self.errors)) }
    }

    /// All keys asked for so far.
    #[cfg(test)]
    pub(crate) fn known(&self) -> &BTreeMap<&'static str, BTreeSet<&'static str>> {
        &self.known
    }

    /// A required name of an instance, data centre or region.
    pub(crate) fn name(&mut self, section: &'static str, key: &'static str) -> Option<String> {
        let expected = "a name of 1 to 63 letters, digits, '.', '_' or '-'";
        let text = self.required(section, key, expected)?;
        let valid = is_name(&text);
        self.check(section, key, expected, &text, valid.then(|| text.clone()))
    }

    /// A required address.
    pub(crate) fn address(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<SocketAddr> {
        let expected = "an IP address and port, as in 127.0.0.1:7001";
        let text = self.required(section, key, expected)?;
        self.check(section, key, expected, &text, text.parse().ok())
    }

    /// A list of instances, empty when absent.
    pub(crate) fn seeds(&mut self, section: &'static str, key: &'static str) -> Option<Vec<Seed>> {
        let expected = "name@address:port of instances, separated by commas";
        let Some(text) = self.value(section, key, expected) else {
            return Some(Vec::new());
        };
        let list = text.split(',').map(|it| it.trim().parse()).collect::<Result<_, _>>();
        self.check(section, key, expected, &text, list.ok())
    }

    /// A whole number.
    pub(crate) fn size(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: usize,
        range: RangeInclusive<usize>,
    ) -> Option<usize> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(text) = self.value(section, key, &expected) else {
            return Some(default);
        };
        let number = text.parse().ok().filter(|it| range.contains(it));
        self.check(section, key, &expected, &text, number)
    }

    /// A whole number of 32 bits.
    pub(crate) fn count(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: u32,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let range = *range.start() as usize..=*range.end() as usize;
        let count = self.size(section, key, default as usize, range)?;
        u32::try_from(count).ok()
    }

    /// A time in milliseconds.
    pub(crate) fn millis(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<Duration> {
        let expected = format!("milliseconds from {} to {}", range.start(), range.end());
        let Some(text) = self.value(section, key, &expected) else {
            return Some(Duration::from_millis(default));
        };
        let millis = text.parse().ok().filter(|it| range.contains(it));
        self.check(section, key, &expected, &text, millis.map(Duration::from_millis))
    }

    /// One of a few words.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        section: &'static str,
        key: &'static str,
        choices: &[(&'static str, T)],
        default: &'static str,
    ) -> Option<T> {
        let expected = one_of("word", choices.iter().map(|it| it.0));
        let text = self.value(section, key, &expected).unwrap_or_else(|| default.to_owned());
        let choice = choices.iter().find(|it| it.0 == text).map(|it| it.1);
        self.check(section, key, &expected, &text, choice)
    }

    /// The path of a file, relative to the working directory.
    pub(crate) fn file(&mut self, section: &'static str, key: &'static str) -> Option<Arc<Path>> {
        let expected = "the path of a file";
        let text = self.value(section, key, expected)?;
        let path = (!text.is_empty()).then(|| Arc::from(Path::new(&text)));
        self.check(section, key, expected, &text, path)
    }

    /// The content of a text file; `Some(None)` when the key is absent.
    pub(crate) fn content(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<Option<Arc<str>>> {
        let expected = "the path of a readable text file";
        let Some(path) = self.value(section, key, expected) else {
            return Some(None);
        };
        match fs::read_to_string(&path) {
            Ok(text) => Some(Some(Arc::from(text))),
            Err(err) => {
                let found = Some(format!("{path}: {err}"));
                self.fault(Code::SettingInvalid, section, key, expected, found);
                None
            }
        }
    }

    /// Operators and the hashes of their keys, empty when absent.
    pub(crate) fn operators(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<Vec<Operator>> {
        let expected = "NAME:ROLE:SHA256 separated by commas, with a role of viewer, tuner or \
                        manager and the SHA-256 of the operator's key in 64 hexadecimal digits";
        let Some(text) = self.value(section, key, expected) else {
            return Some(Vec::new());
        };
        let list = text.split(',').map(|it| parse_operator(it.trim())).collect::<Option<Vec<_>>>();
        let distinct = list.filter(|list| {
            let names = list.iter().map(|it| &it.name).collect::<BTreeSet<_>>();
            names.len() == list.len()
        });
        self.check(section, key, expected, &text, distinct)
    }

    /// A required secret key in hexadecimal.
    pub(crate) fn key(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<[u8; KEY_BYTES]> {
        self.required(section, key, KEY_EXPECTED)?;
        self.optional_key(section, key)
    }

    /// A secret key in hexadecimal.
    pub(crate) fn optional_key(
        &mut self,
        section: &'static str,
        key: &'static str,
    ) -> Option<[u8; KEY_BYTES]> {
        let text = self.value(section, key, KEY_EXPECTED)?;
        let value = unhex(&text);
        if value.is_none() {
            // The value stays out of the error: it may be a real key with a slip in it.
            self.fault(Code::SettingInvalid, section, key, KEY_EXPECTED, None);
        }
        value
    }

    fn required(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &str,
    ) -> Option<String> {
        let given = self.values.keys().any(|it| it.section == section && it.key == key);
        let value = self.value(section, key, expected);
        if !given {
            self.fault(Code::SettingMissing, section, key, expected, None);
        }
        value
    }

    fn value(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &str,
    ) -> Option<String> {
        self.known.entry(section).or_default().insert(key);
        let place = Place { section: section.to_owned(), key: key.to_owned() };
        match self.values.get(&place)?.as_slice() {
            [value] => Some(value.trim().to_owned()),
            values => {
                let expected = format!("{expected}, given once");
                let found = format!("given {} times", values.len());
                self.fault(Code::SettingInvalid, section, key, &expected, Some(found));
                None
            }
        }
    }

    fn check<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &str,
        text: &str,
        value: Option<T>,
    ) -> Option<T> {
        if value.is_none() {
            let found = Some(text.to_owned());
            self.fault(Code::SettingInvalid, section, key, expected, found);
        }
        value
    }

    /// Notes a fault.
    pub(crate) fn fault(
        &mut self,
        code: Code,
        section: &str,
        key: &str,
        expected: &str,
        found: Option<String>,
    ) {
        self.errors.push(Error {
            code,
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            expected: expected.to_owned(),
            found,
        });
    }
}

const KEY_EXPECTED: &str = "64 hexadecimal digits";

fn is_name(text: &str) -> bool {
    let allowed = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME && text.bytes().all(allowed)
}

fn parse_operator(text: &str) -> Option<Operator> {
    let (name, rest) = text.split_once(':')?;
    let (role, hash) = rest.split_once(':')?;
    let key_hash = unhex(hash)?;
    is_name(name).then_some(Operator { name: name.into(), role: role.parse().ok()?, key_hash })
}

fn unhex(text: &str) -> Option<[u8; KEY_BYTES]> {
    if text.len() != 2 * KEY_BYTES || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (n, byte) in key.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(key)
}

fn one_of(kind: &str, words: impl Iterator<Item = &'static str>) -> String {
    format!("a {kind} of: {}", words.collect::<Vec<_>>().join(", "))
}
