//! Macros that define the newtypes, so that all of them have the same behavior.

/// Defines a text id, which is validated on parsing, cheap to clone, and serialized as its text.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "smol_str::SmolStr", into = "smol_str::SmolStr")]
        pub struct $name(smol_str::SmolStr);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::id::ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                crate::id::check_id_text($kind, text)?;
                Ok(Self(smol_str::SmolStr::new(text)))
            }
        }

        impl TryFrom<smol_str::SmolStr> for $name {
            type Error = crate::id::ParseIdError;

            fn try_from(text: smol_str::SmolStr) -> Result<Self, Self::Error> {
                crate::id::check_id_text($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for smol_str::SmolStr {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

/// Defines a numeric newtype, whose text form is the number followed by the unit, if any. Parsing
/// accepts the number without the unit too.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal, $unit:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the plain number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}{}", self.0, $unit)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::size::ParseNumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let number = text.strip_suffix($unit).unwrap_or(text);
                number.parse().map(Self).map_err(|_| crate::size::ParseNumberError {
                    kind: $kind,
                    text: text.into(),
                })
            }
        }

        impl From<$inner> for $name {
            fn from(number: $inner) -> Self {
                Self(number)
            }
        }
    };
}

/// Defines a numeric newtype over an integer, which can also be ordered, hashed and incremented.
macro_rules! integer {
    ($(#[$doc:meta])* $name:ident($inner:ty), $kind:literal, $unit:literal) => {
        number! {
            $(#[$doc])*
            #[derive(Eq, Ord, Hash)]
            $name($inner), $kind, $unit
        }

        impl $name {
            /// Returns the next higher value, or the same value at the end of the range.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

pub(crate) use integer;
pub(crate) use number;
pub(crate) use text_id;
