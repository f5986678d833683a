//! Whether a request may enter, and in which order requests that wait go on.

mod admission_limits;
mod gate;
mod permit;

pub use self::admission_limits::AdmissionLimits;
pub use self::gate::Admission;
pub use self::permit::AdmissionPermit;
