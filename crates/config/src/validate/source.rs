//! The text being validated, and the checks that several sections share.

use crate::error::ConfigError;
use crate::units::Time;
use std::net::SocketAddr;
use toml::Spanned;
use wheelfield::interface::Micros;

/// The result of a check.
pub(super) type Checked<T> = Result<T, ConfigError>;

/// The name and the text of the file being validated, from which errors get their line and column.
pub(super) struct Source<'a> {
    pub file: &'a str,
    pub text: &'a str,
}

impl Source<'_> {
    /// An error at the place of `at`: what is wrong, and how to correct it.
    pub fn error<T>(
        &self,
        at: &Spanned<T>,
        problem: impl Into<String>,
        suggestion: impl Into<String>,
    ) -> ConfigError {
        ConfigError::at(self.file, self.text, at.span().start, problem, suggestion)
    }

    /// A loopback address with its port. Others are rejected, as clients are not asked for a password.
    pub fn loopback_address(&self, at: &Spanned<String>) -> Checked<SocketAddr> {
        let address: SocketAddr = at.get_ref().parse().map_err(|_| {
            let suggestion = "write an address and a port, such as \"127.0.0.1:6432\"";
            self.error(at, format!("`{}` is no address", at.get_ref()), suggestion)
        })?;
        if !address.ip().is_loopback() {
            let problem = format!(
                "`{address}` is not a loopback address, and nobody is asked for a password"
            );
            return Err(self.error(at, problem, "use an address of 127.0.0.0/8"));
        }
        Ok(address)
    }

    /// The position of a name among the defined ones; `what` says what it names.
    pub fn index_of_name(
        &self,
        names: &[String],
        at: &Spanned<String>,
        what: &str,
    ) -> Checked<usize> {
        names
            .iter()
            .position(|name| name == at.get_ref())
            .ok_or_else(|| {
                let known = if names.is_empty() {
                    format!("name the {what}s first")
                } else {
                    names.join(", ")
                };
                self.error(
                    at,
                    format!("no {what} is named `{}`", at.get_ref()),
                    format!("known: {known}"),
                )
            })
    }

    /// Adds a name that must be neither empty nor among `names` already.
    pub fn add_unique_name(
        &self,
        names: &mut Vec<String>,
        at: &Spanned<String>,
        what: &str,
    ) -> Checked<()> {
        let name = at.get_ref();
        if name.is_empty() {
            return Err(self.error(at, format!("a {what} without a name"), "give it one"));
        }
        if names.contains(name) {
            return Err(self.error(
                at,
                format!("the {what} `{name}` is named twice"),
                "rename one",
            ));
        }
        names.push(name.clone());
        Ok(())
    }

    /// A finite number from `low` to `high`.
    pub fn number_in_range(
        &self,
        at: &Spanned<f64>,
        key: &str,
        low: f64,
        high: f64,
    ) -> Checked<f64> {
        let number = *at.get_ref();
        if number.is_finite() && (low..=high).contains(&number) {
            return Ok(number);
        }
        let suggestion = format!("write a number from {low} to {high}");
        Err(self.error(at, format!("{key} is {number}"), suggestion))
    }

    /// A fraction from 0 to 1, or `default` where the key is absent.
    pub fn fraction_or(
        &self,
        at: Option<&Spanned<f64>>,
        default: f64,
        suggestion: &str,
    ) -> Checked<f64> {
        match at {
            None => Ok(default),
            Some(at) if (0.0..=1.0).contains(at.get_ref()) => Ok(*at.get_ref()),
            Some(at) => Err(self.error(at, format!("{} is no share", at.get_ref()), suggestion)),
        }
    }

    /// A time above zero.
    pub fn positive_time(&self, at: &Spanned<Time>, key: &str) -> Checked<Micros> {
        match at.get_ref().0 {
            time if time.0 > 0 => Ok(time),
            _ => Err(self.error(at, format!("{key} is no time at all"), "write one above 0")),
        }
    }

    /// A time above zero, or `default` where the key is absent.
    pub fn time_or(
        &self,
        at: Option<&Spanned<Time>>,
        default: Micros,
        key: &str,
    ) -> Checked<Micros> {
        at.map_or(Ok(default), |at| self.positive_time(at, key))
    }
}

/// A number of milliseconds, for defaults.
pub(super) const fn milliseconds(number: i64) -> Micros {
    Micros(number * 1_000)
}

/// A number of seconds, for defaults.
pub(super) const fn seconds(number: i64) -> Micros {
    Micros(number * 1_000_000)
}
