//! The settings that only model services have.

use smol_str::SmolStr;

use crate::check::TableReader;

/// The part of a service specification that is specific to model services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSpec {
    /// The name of the model in requests of callers.
    pub model: SmolStr,
    /// Whether the engine can resume an interrupted stream.
    pub resumable: bool,
}

impl ModelSpec {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Option<Self> {
        let model = reader
            .required::<String>("model", "give the name by which callers request the model")?;
        let resumable = reader.optional("resumable").unwrap_or(false);
        Some(Self {
            model: model.into(),
            resumable,
        })
    }
}
