//! The shared keys of the group and the file that holds them.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Maximum number of keys: the one that authenticates and older ones that are still accepted.
pub const MAX_KEYS: usize = 4;
/// Minimum length of a key in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// An error in a key file. The message never contains a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("key file, line {line}: {problem}")]
pub struct KeyFileError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong, and what was expected.
    pub problem: String,
}

/// A key and the number by which datagrams refer to it.
#[derive(Clone)]
struct Key {
    number: u8,
    secret: Vec<u8>,
}

/// The shared keys: the first one authenticates datagrams, all verify them.
#[derive(Clone)]
pub struct Keys(Vec<Key>);

impl std::fmt::Debug for Keys {
    /// Shows only the numbers, never the secrets.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "Keys({:?})",
            self.0.iter().map(|key| key.number).collect::<Vec<_>>()
        )
    }
}

impl Keys {
    /// Parses a key file: one key per line, its number (0 to 255), a space and the key; lines that start with `#` are comments.
    /// The first key authenticates. To rotate keys, add the new one as the second line on all controllers, then move it to the
    /// first line on all, then remove the old one.
    ///
    /// # Errors
    /// [`KeyFileError`] with the first line that is wrong.
    pub fn parse(text: &str) -> Result<Keys, KeyFileError> {
        let mut keys = Keys(Vec::new());
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            keys.push_line(line).map_err(|problem| KeyFileError {
                line: index + 1,
                problem: problem.to_string(),
            })?;
        }
        if keys.0.is_empty() {
            let problem = "no key; expected a number, a space and the key".to_string();
            return Err(KeyFileError { line: 1, problem });
        }
        Ok(keys)
    }

    /// Parses a line and adds its key; the error describes what is wrong with the line.
    fn push_line(&mut self, line: &str) -> Result<(), &'static str> {
        let (number, secret) = line
            .split_once(' ')
            .ok_or("expected a number, a space and the key")?;
        let number = number
            .parse::<u8>()
            .map_err(|_| "the key number is not one of 0 to 255")?;
        let secret = secret.trim().as_bytes().to_vec();
        if secret.len() < MIN_KEY_BYTES {
            return Err("key of less than 16 bytes; use 32 random characters");
        }
        if self.get(number).is_some() {
            return Err("the key number is already used");
        }
        if self.0.len() == MAX_KEYS {
            return Err("more than 4 keys; remove an old one");
        }
        self.0.push(Key { number, secret });
        Ok(())
    }

    /// The key that authenticates, with its number.
    pub(super) fn primary(&self) -> Option<(u8, &[u8])> {
        self.0
            .first()
            .map(|key| (key.number, key.secret.as_slice()))
    }

    /// The key with a number.
    pub(super) fn get(&self, number: u8) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|key| key.number == number)
            .map(|key| key.secret.as_slice())
    }
}

/// The message authentication code over the concatenated parts, to be finalized or verified by the caller.
pub(super) fn mac(key: &[u8], parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key).ok()?;
    for part in parts {
        mac.update(part);
    }
    Some(mac)
}
