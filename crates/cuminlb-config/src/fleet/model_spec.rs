//! [`ModelSpec`].

use smol_str::SmolStr;

use crate::check::TableReader;

/// What a model service needs beyond any service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// The name by which callers ask for the model.
    pub model: SmolStr,
    /// Whether the engine can resume a stream that broke off.
    pub resumable: bool,
}

impl ModelSpec {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let model = reader.required::<String>("model", "name the model as callers do")?;
        let resumable = reader.optional("resumable").unwrap_or(false);
        Some(Self {
            model: model.into(),
            resumable,
        })
    }
}
