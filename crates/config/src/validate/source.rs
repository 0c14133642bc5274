//! The source text of the configuration, and the checks that several sections share.

use crate::error::ConfigError;
use crate::units::Time;
use std::net::SocketAddr;
use toml::Spanned;
use wheelfield::interface::Micros;

/// The result of a validation step.
pub(super) type ConfigResult<T> = Result<T, ConfigError>;

/// The name and the text of the file that is validated. Errors compute their line and column from the text.
pub(super) struct Source<'a> {
    pub file: &'a str,
    pub text: &'a str,
}

impl Source<'_> {
    /// Creates an error at the position of `spanned`, with the problem and a suggested correction.
    pub fn error<T>(
        &self,
        spanned: &Spanned<T>,
        problem: impl Into<String>,
        suggestion: impl Into<String>,
    ) -> ConfigError {
        ConfigError::at(
            self.file,
            self.text,
            spanned.span().start,
            problem,
            suggestion,
        )
    }

    /// Parses a loopback address with a port. Other addresses are rejected because clients are not asked for a password.
    pub fn parse_loopback_address(&self, spanned: &Spanned<String>) -> ConfigResult<SocketAddr> {
        let address: SocketAddr = spanned.get_ref().parse().map_err(|_| {
            let suggestion = "write an address and a port, such as \"127.0.0.1:6432\"";
            self.error(
                spanned,
                format!("`{}` is not an address and port", spanned.get_ref()),
                suggestion,
            )
        })?;
        if !address.ip().is_loopback() {
            let problem = format!(
                "`{address}` is not a loopback address, and connections are not password-protected"
            );
            return Err(self.error(spanned, problem, "use an address of 127.0.0.0/8"));
        }
        Ok(address)
    }

    /// Returns the position of a name in `names`. `item` is the kind of item it names, such as "zone", for the error.
    pub fn index_of_name(
        &self,
        names: &[String],
        spanned: &Spanned<String>,
        item: &str,
    ) -> ConfigResult<usize> {
        names
            .iter()
            .position(|name| name == spanned.get_ref())
            .ok_or_else(|| {
                let known = if names.is_empty() {
                    format!("none; define a {item} first")
                } else {
                    names.join(", ")
                };
                self.error(
                    spanned,
                    format!("no {item} is named `{}`", spanned.get_ref()),
                    format!("known: {known}"),
                )
            })
    }

    /// Adds a name to `names`. Rejects an empty name and a duplicate.
    pub fn add_unique_name(
        &self,
        names: &mut Vec<String>,
        spanned: &Spanned<String>,
        item: &str,
    ) -> ConfigResult<()> {
        let name = spanned.get_ref();
        if name.is_empty() {
            return Err(self.error(
                spanned,
                format!("the name of a {item} is empty"),
                "give it a name",
            ));
        }
        if names.contains(name) {
            return Err(self.error(
                spanned,
                format!("the {item} `{name}` is defined twice"),
                "rename one of them",
            ));
        }
        names.push(name.clone());
        Ok(())
    }

    /// Returns a finite number from `min` to `max`, and rejects others.
    pub fn number_in_range(
        &self,
        spanned: &Spanned<f64>,
        key: &str,
        min: f64,
        max: f64,
    ) -> ConfigResult<f64> {
        let number = *spanned.get_ref();
        if number.is_finite() && (min..=max).contains(&number) {
            return Ok(number);
        }
        let suggestion = format!("write a number from {min} to {max}");
        Err(self.error(spanned, format!("{key} is {number}"), suggestion))
    }

    /// Returns a fraction from 0 to 1, or `default` if the key is absent.
    pub fn fraction_or(
        &self,
        spanned: Option<&Spanned<f64>>,
        default: f64,
        suggestion: &str,
    ) -> ConfigResult<f64> {
        match spanned {
            None => Ok(default),
            Some(spanned) if (0.0..=1.0).contains(spanned.get_ref()) => Ok(*spanned.get_ref()),
            Some(spanned) => Err(self.error(
                spanned,
                format!("{} is not a fraction", spanned.get_ref()),
                suggestion,
            )),
        }
    }

    /// Returns a time above zero, and rejects others.
    pub fn positive_time(&self, spanned: &Spanned<Time>, key: &str) -> ConfigResult<Micros> {
        match spanned.get_ref().0 {
            time if time.0 > 0 => Ok(time),
            _ => Err(self.error(
                spanned,
                format!("`{key}` is not above zero"),
                "write a time above 0",
            )),
        }
    }

    /// Returns a time above zero, or `default` if the key is absent.
    pub fn time_or(
        &self,
        spanned: Option<&Spanned<Time>>,
        default: Micros,
        key: &str,
    ) -> ConfigResult<Micros> {
        spanned.map_or(Ok(default), |spanned| self.positive_time(spanned, key))
    }
}

/// Converts milliseconds to [`Micros`], for default values.
pub(super) const fn milliseconds(number: i64) -> Micros {
    Micros(number * 1_000)
}

/// Converts seconds to [`Micros`], for default values.
pub(super) const fn seconds(number: i64) -> Micros {
    Micros(number * 1_000_000)
}
