//! Whole numbers in JSON, which some writers send as decimals such as `2000.0`.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::Unexpected;
use serde::de::Visitor;

struct WholeNumber<T>(T);

struct WholeVisitor<T>(PhantomData<T>);

impl<T: TryFrom<u64>> Visitor<'_> for WholeVisitor<T> {
    type Value = WholeNumber<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number that is not negative")
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Self::Value, E> {
        let invalid = || E::invalid_value(Unexpected::Unsigned(value), &self);
        T::try_from(value).map(WholeNumber).map_err(|_| invalid())
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Self::Value, E> {
        match u64::try_from(value) {
            Ok(value) => self.visit_u64(value),
            Err(_) => Err(E::invalid_value(Unexpected::Signed(value), &self)),
        }
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Self::Value, E> {
        // 2^64 as a double is the smallest one that is too large.
        let is_whole = value.fract() == 0.0 && (0.0..u64::MAX as f64).contains(&value);
        match is_whole {
            true => self.visit_u64(value as u64),
            false => Err(E::invalid_value(Unexpected::Float(value), &self)),
        }
    }
}

impl<'de, T: TryFrom<u64>> Deserialize<'de> for WholeNumber<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(WholeVisitor(PhantomData))
    }
}

/// Deserializes a whole number, for `deserialize_with`.
pub(super) fn whole_number<'de, D: Deserializer<'de>, T: TryFrom<u64>>(
    deserializer: D,
) -> Result<T, D::Error> {
    WholeNumber::deserialize(deserializer).map(|number| number.0)
}

/// Deserializes a whole number or null, for `deserialize_with`.
pub(super) fn optional_whole_number<'de, D: Deserializer<'de>, T: TryFrom<u64>>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    let number: Option<WholeNumber<T>> = Option::deserialize(deserializer)?;
    Ok(number.map(|number| number.0))
}
