//! Takes the values of a table one by one, so that what is left over at the end is unknown.

use crate::Fault;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use toml::{Table, Value};

/// All faults so far.
#[derive(Debug, Default)]
pub struct Errors(Vec<Fault>);

impl Errors {
    /// Adds one.
    pub fn add(&mut self, key: &str, reason: String) {
        self.0.push(Fault { key: key.to_owned(), reason });
    }

    /// None so far.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The value, if there was no fault.
    pub fn result<T>(self, value: T) -> Result<T, Vec<Fault>> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self.0)
        }
    }
}

/// A table of the file.
#[derive(Debug)]
pub struct Section {
    path: String,
    table: Table,
    known: Vec<&'static str>,
}

fn kind(value: &Value) -> &'static str {
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
    /// The whole file.
    pub fn root(table: Table) -> Section {
        Section { path: String::new(), table, known: Vec::new() }
    }

    /// The whole name of one of its keys.
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

    fn wrong(&self, key: &str, want: &str, value: &Value, errors: &mut Errors) {
        errors.add(&self.key(key), format!("is {}; {want} is wanted", kind(value)));
    }

    /// A table in it.
    pub fn section(&mut self, key: &'static str, errors: &mut Errors) -> Option<Section> {
        match self.take(key)? {
            Value::Table(table) => Some(Section { path: self.key(key), table, known: Vec::new() }),
            value => {
                self.wrong(key, "a table", &value, errors);
                None
            }
        }
    }

    /// What must be there, as `read` takes it.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        errors: &mut Errors,
        read: impl FnOnce(&mut Section, &mut Errors) -> Option<T>,
    ) -> Option<T> {
        if !self.table.contains_key(key) {
            self.known.push(key);
            errors.add(&self.key(key), "is missing".into());
            return None;
        }
        read(self, errors)
    }

    /// An integer within bounds.
    pub fn integer(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<i64>,
        errors: &mut Errors,
    ) -> Option<i64> {
        let value = self.take(key)?;
        self.bounded(key, &value, &bounds, errors)
    }

    fn bounded(
        &self,
        key: &str,
        value: &Value,
        bounds: &RangeInclusive<i64>,
        errors: &mut Errors,
    ) -> Option<i64> {
        match value {
            Value::Integer(n) if bounds.contains(n) => Some(*n),
            Value::Integer(n) => {
                let (least, most) = (bounds.start(), bounds.end());
                let range =
                    if *most == i64::MAX { format!("{least} or more") } else { format!("{least} to {most}") };
                errors.add(&self.key(key), format!("is {n}; {range} is allowed"));
                None
            }
            value => {
                self.wrong(key, "an integer", value, errors);
                None
            }
        }
    }

    /// An array of integers within bounds; empty where it is not there.
    pub fn integers(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<i64>,
        errors: &mut Errors,
    ) -> Vec<i64> {
        match self.take(key) {
            None => Vec::new(),
            Some(Value::Array(all)) => {
                let each = all.iter().enumerate();
                each.filter_map(|(i, v)| self.bounded(&format!("{key}[{i}]"), v, &bounds, errors)).collect()
            }
            Some(value) => {
                self.wrong(key, "an array of integers", &value, errors);
                Vec::new()
            }
        }
    }

    /// A boolean.
    pub fn boolean(&mut self, key: &'static str, errors: &mut Errors) -> Option<bool> {
        match self.take(key)? {
            Value::Boolean(told) => Some(told),
            value => {
                self.wrong(key, "a boolean", &value, errors);
                None
            }
        }
    }

    /// A number within bounds; an integer is one.
    pub fn number(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
        errors: &mut Errors,
    ) -> Option<f64> {
        let value = self.take(key)?;
        let number = match value {
            Value::Float(n) => n,
            Value::Integer(n) => n as f64,
            value => {
                self.wrong(key, "a number", &value, errors);
                return None;
            }
        };
        if bounds.contains(&number) {
            return Some(number);
        }
        let (low, high) = (bounds.start(), bounds.end());
        errors.add(&self.key(key), format!("is {number}; {low} to {high} is allowed"));
        None
    }

    /// A string that is not empty.
    pub fn string(&mut self, key: &'static str, errors: &mut Errors) -> Option<String> {
        match self.take(key)? {
            Value::String(text) if !text.is_empty() => Some(text),
            Value::String(_) => {
                errors.add(&self.key(key), "is empty".into());
                None
            }
            value => {
                self.wrong(key, "a string", &value, errors);
                None
            }
        }
    }

    /// An array of strings.
    pub fn strings(&mut self, key: &'static str, errors: &mut Errors) -> Option<Vec<String>> {
        let all = match self.take(key)? {
            Value::Array(all) => all,
            value => {
                self.wrong(key, "an array of strings", &value, errors);
                return None;
            }
        };
        let mut texts = Vec::new();
        for (i, value) in all.into_iter().enumerate() {
            match value {
                Value::String(text) => texts.push(text),
                value => self.wrong(&format!("{key}[{i}]"), "a string", &value, errors),
            }
        }
        Some(texts)
    }

    /// An array of tables, `[[...]]`; empty where it is not there.
    pub fn sections(&mut self, key: &'static str, errors: &mut Errors) -> Vec<Section> {
        let all = match self.take(key) {
            None => return Vec::new(),
            Some(Value::Array(all)) => all,
            Some(value) => {
                self.wrong(key, "an array of tables", &value, errors);
                return Vec::new();
            }
        };
        let mut sections = Vec::new();
        for (i, value) in all.into_iter().enumerate() {
            let path = format!("{key}[{i}]");
            match value {
                Value::Table(table) => {
                    sections.push(Section { path: self.key(&path), table, known: Vec::new() });
                }
                value => self.wrong(&path, "a table", &value, errors),
            }
        }
        sections
    }

    /// A path, `{name}` in it replaced.
    pub fn path(&mut self, key: &'static str, instance: &str, errors: &mut Errors) -> Option<PathBuf> {
        let text = match self.take(key)? {
            Value::String(text) => text,
            value => {
                self.wrong(key, "a path as a string", &value, errors);
                return None;
            }
        };
        if text.is_empty() || text.contains('\0') {
            errors.add(&self.key(key), "is no path".into());
            return None;
        }
        if text.contains("{name}") {
            // Danger: a name with a slash would lead out of the operator's folder.
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            if instance.is_empty() || !instance.chars().all(plain) || instance.starts_with('.') {
                let reason =
                    format!("has {{name}}, and the instance's name {instance:?} can't stand in a path");
                errors.add(&self.key(key), reason);
                return None;
            }
        }
        Some(PathBuf::from(text.replace("{name}", instance)))
    }

    /// Whatever has not been taken is unknown.
    pub fn finish(self, errors: &mut Errors) {
        for key in self.table.keys() {
            let known = if self.known.is_empty() { "none".into() } else { self.known.join(", ") };
            errors.add(&self.key(key), format!("is unknown; known here: {known}"));
        }
    }
}
