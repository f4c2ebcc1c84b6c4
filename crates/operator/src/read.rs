//! Typed access to the keys of TOML tables. Each value that is read is removed from its table, so that the keys left at
//! the end are unknown ones.

use crate::Fault;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use toml::{Table, Value};

/// The faults found so far.
#[derive(Debug, Default)]
pub struct FaultList(Vec<Fault>);

impl FaultList {
    /// Adds the fault of a key.
    pub fn add(&mut self, key: &str, reason: String) {
        self.0.push(Fault { key: key.to_owned(), reason });
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// `value` if there are no faults.
    ///
    /// # Errors
    /// The faults.
    pub fn result<T>(self, value: T) -> Result<T, Vec<Fault>> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self.0)
        }
    }
}

/// A table of the file. Keys that are read are recorded for the message about unknown ones.
#[derive(Debug)]
pub struct Section {
    path: String,
    table: Table,
    known: Vec<&'static str>,
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::String(_) => "a string",
        Value::Integer(_) => "an integer",
        Value::Float(_) => "a float",
        Value::Boolean(_) => "a boolean",
        Value::Datetime(_) => "a date",
        Value::Array(_) => "an array",
        Value::Table(_) => "a table",
    }
}

impl Section {
    /// The root table of the file.
    pub fn root(table: Table) -> Section {
        Section { path: String::new(), table, known: Vec::new() }
    }

    /// The full name of a key of this table, such as `control.socket`.
    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.table.remove(key)
    }

    fn add_type_fault(&self, key: &str, expected: &str, value: &Value, faults: &mut FaultList) {
        faults.add(&self.key(key), format!("is {}; {expected} is wanted", type_name(value)));
    }

    /// A table.
    pub fn section(&mut self, key: &'static str, faults: &mut FaultList) -> Option<Section> {
        match self.take(key)? {
            Value::Table(table) => Some(Section { path: self.key(key), table, known: Vec::new() }),
            value => {
                self.add_type_fault(key, "a table", &value, faults);
                None
            }
        }
    }

    /// A required value, read with `read`; a fault if the key is missing.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        faults: &mut FaultList,
        read: impl FnOnce(&mut Section, &mut FaultList) -> Option<T>,
    ) -> Option<T> {
        if !self.table.contains_key(key) {
            self.known.push(key);
            faults.add(&self.key(key), "is missing".into());
            return None;
        }
        read(self, faults)
    }

    /// An integer within bounds.
    pub fn integer(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<i64>,
        faults: &mut FaultList,
    ) -> Option<i64> {
        let value = self.take(key)?;
        self.bounded_integer(key, &value, &bounds, faults)
    }

    fn bounded_integer(
        &self,
        key: &str,
        value: &Value,
        bounds: &RangeInclusive<i64>,
        faults: &mut FaultList,
    ) -> Option<i64> {
        match value {
            Value::Integer(n) if bounds.contains(n) => Some(*n),
            Value::Integer(n) => {
                let (min, max) = (bounds.start(), bounds.end());
                let range =
                    if *max == i64::MAX { format!("{min} or more") } else { format!("{min} to {max}") };
                faults.add(&self.key(key), format!("is {n}; {range} is allowed"));
                None
            }
            value => {
                self.add_type_fault(key, "an integer", value, faults);
                None
            }
        }
    }

    /// An array of integers within bounds; empty if the key is missing.
    pub fn integers(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<i64>,
        faults: &mut FaultList,
    ) -> Vec<i64> {
        match self.take(key) {
            None => Vec::new(),
            Some(Value::Array(values)) => {
                let entries = values.iter().enumerate();
                entries
                    .filter_map(|(i, v)| self.bounded_integer(&format!("{key}[{i}]"), v, &bounds, faults))
                    .collect()
            }
            Some(value) => {
                self.add_type_fault(key, "an array of integers", &value, faults);
                Vec::new()
            }
        }
    }

    pub fn boolean(&mut self, key: &'static str, faults: &mut FaultList) -> Option<bool> {
        match self.take(key)? {
            Value::Boolean(value) => Some(value),
            value => {
                self.add_type_fault(key, "a boolean", &value, faults);
                None
            }
        }
    }

    /// A float or an integer within bounds.
    pub fn number(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
        faults: &mut FaultList,
    ) -> Option<f64> {
        let value = self.take(key)?;
        let number = match value {
            Value::Float(n) => n,
            Value::Integer(n) => n as f64,
            value => {
                self.add_type_fault(key, "a number", &value, faults);
                return None;
            }
        };
        if bounds.contains(&number) {
            return Some(number);
        }
        let (min, max) = (bounds.start(), bounds.end());
        faults.add(&self.key(key), format!("is {number}; {min} to {max} is allowed"));
        None
    }

    /// A non-empty string.
    pub fn string(&mut self, key: &'static str, faults: &mut FaultList) -> Option<String> {
        match self.take(key)? {
            Value::String(text) if !text.is_empty() => Some(text),
            Value::String(_) => {
                faults.add(&self.key(key), "is empty".into());
                None
            }
            value => {
                self.add_type_fault(key, "a string", &value, faults);
                None
            }
        }
    }

    /// An array of strings.
    pub fn strings(&mut self, key: &'static str, faults: &mut FaultList) -> Option<Vec<String>> {
        let values = match self.take(key)? {
            Value::Array(values) => values,
            value => {
                self.add_type_fault(key, "an array of strings", &value, faults);
                return None;
            }
        };
        let mut texts = Vec::new();
        for (i, value) in values.into_iter().enumerate() {
            match value {
                Value::String(text) => texts.push(text),
                value => self.add_type_fault(&format!("{key}[{i}]"), "a string", &value, faults),
            }
        }
        Some(texts)
    }

    /// An array of tables, `[[...]]`; empty if the key is missing.
    pub fn sections(&mut self, key: &'static str, faults: &mut FaultList) -> Vec<Section> {
        let values = match self.take(key) {
            None => return Vec::new(),
            Some(Value::Array(values)) => values,
            Some(value) => {
                self.add_type_fault(key, "an array of tables", &value, faults);
                return Vec::new();
            }
        };
        let mut sections = Vec::new();
        for (i, value) in values.into_iter().enumerate() {
            let path = format!("{key}[{i}]");
            match value {
                Value::Table(table) => {
                    sections.push(Section { path: self.key(&path), table, known: Vec::new() });
                }
                value => self.add_type_fault(&path, "a table", &value, faults),
            }
        }
        sections
    }

    /// A path in which `{name}` is replaced by the instance's name.
    pub fn path(&mut self, key: &'static str, instance: &str, faults: &mut FaultList) -> Option<PathBuf> {
        let text = match self.take(key)? {
            Value::String(text) => text,
            value => {
                self.add_type_fault(key, "a path as a string", &value, faults);
                return None;
            }
        };
        if text.is_empty() || text.contains('\0') {
            faults.add(&self.key(key), "is no path".into());
            return None;
        }
        if text.contains("{name}") {
            // A name with a slash would lead to a path outside the folder that the operator chose.
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            if instance.is_empty() || !instance.chars().all(is_allowed) || instance.starts_with('.') {
                let reason =
                    format!("has {{name}}, and the instance's name {instance:?} can't stand in a path");
                faults.add(&self.key(key), reason);
                return None;
            }
        }
        Some(PathBuf::from(text.replace("{name}", instance)))
    }

    /// Adds a fault for each key that has not been read.
    pub fn finish(self, faults: &mut FaultList) {
        for key in self.table.keys() {
            let known = if self.known.is_empty() { "none".into() } else { self.known.join(", ") };
            faults.add(&self.key(key), format!("is unknown; known here: {known}"));
        }
    }
}
