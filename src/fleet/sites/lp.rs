//! A linear program and its dual, solved by `good_lp` with `microlp`.

use good_lp::{Expression, ProblemVariables, Solution, SolverModel, variable};

/// Largest `objective * x` with `rows * x <= limits` and `x >= 0`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Program {
    pub objective: Vec<f64>,
    pub rows: Vec<(Vec<(usize, f64)>, f64)>,
}

impl Program {
    pub fn variable(&mut self, worth: f64) -> usize {
        self.objective.push(worth);
        self.objective.len() - 1
    }

    /// Adds a row; the number of it is where its price conditions.
    pub fn limit(&mut self, terms: Vec<(usize, f64)>, limit: f64) -> usize {
        self.rows.push((terms, limit));
        self.rows.len() - 1
    }

    /// The values of the variables.
    pub fn solve(&self) -> Result<Vec<f64>, String> {
        let mut vars = ProblemVariables::new();
        let x = vars.add_vector(variable().min(0.0), self.objective.len());
        let sum = |terms: &mut dyn Iterator<Item = (usize, f64)>| {
            terms.fold(Expression::with_capacity(8), |mut e, (i, v)| {
                e.add_mul(v, x[i]);
                e
            })
        };
        let mut model = vars
            .maximise(sum(&mut self.objective.iter().copied().enumerate()))
            .using(good_lp::solvers::microlp::microlp);
        for (terms, limit) in &self.rows {
            model.add_constraint(sum(&mut terms.iter().copied()).leq(*limit));
        }
        let solution = model.solve().map_err(|e| e.to_string())?;
        Ok(x.iter().map(|v| solution.value(*v).max(0.0)).collect())
    }

    /// The program whose best values are the prices of this one's rows.
    pub fn dual(&self) -> Program {
        let mut rows: Vec<(Vec<(usize, f64)>, f64)> = self
            .objective
            .iter()
            .map(|worth| (Vec::new(), -worth))
            .collect();
        for (row, (terms, _)) in self.rows.iter().enumerate() {
            for (variable, value) in terms {
                rows[*variable].0.push((row, -value));
            }
        }
        Program {
            objective: self.rows.iter().map(|(_, limit)| -limit).collect(),
            rows,
        }
    }
}
