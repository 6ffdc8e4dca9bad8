//! Parses and validates scenarios, and checks figures against the expectations.

use std::collections::BTreeMap;
use std::fmt;

use thiserror::Error;

use super::{Expect, Scenario, Step};

/// Maximum number of nodes in a scenario.
const MAX_NODES: usize = 2_000;
/// Maximum number of backends in a scenario.
const MAX_BACKENDS: usize = 20_000;
/// Maximum length of a scenario, in seconds.
const MAX_LENGTH_S: f64 = 3_600.0;

/// Reason why a file is not a valid scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file can't be parsed; the message names line and column.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// The number of nodes, zones or backends is out of its bounds.
    #[error("fleet: nodes must be 1 to 2,000, zones at least 1, backends at most 20,000")]
    FleetSize,
    /// The length is out of its bounds.
    #[error("length_s: must be above 0 and at most 3,600")]
    Length,
    /// There is a request rate, but no class of requests.
    #[error("traffic: rate is above 0, but there is no class")]
    NoClass,
    /// The time or the part of a step is out of its bounds.
    #[error("at {at_s} s: part must lie between 0 and 1, s must be 0 or more")]
    StepBounds {
        /// Time of the step, in seconds.
        at_s: f64,
    },
    /// The size of a step is not a positive number.
    #[error("at {at_s} s: size must be above 0")]
    StepSize {
        /// Time of the step, in seconds.
        at_s: f64,
    },
    /// An expectation has neither a minimum nor a maximum.
    #[error("expect `{figure}`: neither least nor most is given")]
    NoBound {
        /// Name of the figure in the expectation.
        figure: String,
    },
}

/// An expectation of a scenario that the figures of a run do not meet.
#[derive(Clone, Debug)]
pub struct UnmetExpectation {
    /// The expectation: the name of the figure and its bounds.
    pub expect: Expect,
    /// Value of the figure; `None` if the report has no such figure.
    pub measured: Option<f64>,
}

impl fmt::Display for UnmetExpectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Expect {
            figure,
            least,
            most,
        } = &self.expect;
        let Some(measured) = self.measured else {
            return write!(f, "{figure}: the report has no such figure");
        };
        write!(f, "{figure} is {measured:.3}, wanted")?;
        if let Some(least) = least {
            write!(f, " at least {least}")?;
        }
        if let Some(most) = most {
            write!(f, " at most {most}")?;
        }
        Ok(())
    }
}

impl Scenario {
    /// Parses and validates the text of a scenario file.
    ///
    /// # Errors
    ///
    /// If the text can't be parsed, or has a value out of its bounds.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<(), ScenarioError> {
        let fleet = &self.fleet;
        let nodes_in_bounds = (1..=MAX_NODES).contains(&fleet.nodes);
        if !nodes_in_bounds || fleet.zones == 0 || fleet.backends > MAX_BACKENDS {
            return Err(ScenarioError::FleetSize);
        }
        if !(self.length_s > 0.0 && self.length_s <= MAX_LENGTH_S) {
            return Err(ScenarioError::Length);
        }
        if self.traffic.rate > 0.0 && self.traffic.class.is_empty() {
            return Err(ScenarioError::NoClass);
        }
        self.at.iter().try_for_each(Step::validate)?;
        self.expect.iter().try_for_each(Expect::validate)
    }

    /// Returns the expectations that these figures do not meet. An expectation on a missing figure
    /// is not met.
    pub fn unmet(&self, figures: &BTreeMap<String, f64>) -> Vec<UnmetExpectation> {
        let expectations = self.expect.iter();
        let checked = expectations.map(|expect| UnmetExpectation {
            expect: expect.clone(),
            measured: figures.get(&expect.figure).copied(),
        });
        checked
            .filter(|checked| !checked.expect.is_met_by(checked.measured))
            .collect()
    }
}

impl Step {
    fn validate(&self) -> Result<(), ScenarioError> {
        let at_s = self.at_s;
        let part_in_bounds = self.part.iter().all(|end| (0.0..=1.0).contains(end));
        if !part_in_bounds || at_s < 0.0 {
            return Err(ScenarioError::StepBounds { at_s });
        }
        if !(self.size > 0.0 && self.size.is_finite()) {
            return Err(ScenarioError::StepSize { at_s });
        }
        Ok(())
    }
}

impl Expect {
    fn validate(&self) -> Result<(), ScenarioError> {
        if self.least.is_none() && self.most.is_none() {
            let figure = self.figure.clone();
            return Err(ScenarioError::NoBound { figure });
        }
        Ok(())
    }

    fn is_met_by(&self, measured: Option<f64>) -> bool {
        let Some(measured) = measured else {
            return false;
        };
        let too_low = self.least.is_some_and(|least| measured < least);
        let too_high = self.most.is_some_and(|most| measured > most);
        !(too_low || too_high || measured.is_nan())
    }
}
