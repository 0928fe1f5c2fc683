#pragma once

/// @file
/// @brief What each image of filling tasks does to the tails of serving tasks beside it.

#include <map>
#include <string>
#include <vector>

namespace cowslipdoor {

/// @brief Settings of the model.
struct PressureConfig {
    /// Pressure of an image of which nothing has been seen: one that would be noticed, so that it is tried with care.
    double prior = 0.15;
    /// Pressure from which an image counts as pressing: ten tasks of less raise a tail by less than its target.
    double pressing = 0.10;
    /// Share of an error that one observation corrects.
    double learningRate = 0.2;
    /// Share by which one observation without filling tasks moves the usual tail.
    double baseRate = 0.02;
    /// Usual tail as a share of its target until one has been seen.
    double firstBase = 0.45;
    /// Tails above this share of the target teach no more than one at it, as they grow without bound under overload.
    double worstTail = 2.0;
    /// Square of the work at which half of the learning rate takes effect: half a task is enough to learn from.
    double regularisation = 0.25;
    /// Tasks' worth of work under which an observation is too faint to teach.
    double faintestWork = 0.05;

    bool operator==(const PressureConfig&) const = default;
};

/// @brief Filling work of one image on one worker.
struct FillingWork {
    std::string image;
    /// Tasks, each counted by its pace.
    double work = 0;

    bool operator==(const FillingWork&) const = default;
};

/// @brief Learns, by normalised least mean squares, by how much one task of an image raises a tail.
///
/// Pattern it answers: images differ a hundredfold in what they do to their neighbours. Slowed and spread alike, harmless
/// ones starve with the noisy ones; told apart, they run at full pace anywhere.
/// @code
/// model.observe(0.9, { { "render", 1.0 } });
/// const bool careful = model.presses("render");
/// @endcode
class PressureModel {
public:
    /// @param config settings
    explicit PressureModel(PressureConfig config = {});

    /// @brief Takes in one observation of a worker.
    /// @param tail mean tail of the serving tasks there, as a share of their targets
    /// @param filling filling work beside them
    void observe(double tail, const std::vector<FillingWork>& filling);

    /// @param image the image
    /// @return by how much one task raises a tail, as a share of its target
    [[nodiscard]] double pressureOf(const std::string& image) const;

    /// @param image the image
    /// @return whether its tasks have to be placed and paced with care
    [[nodiscard]] bool presses(const std::string& image) const { return this->pressureOf(image) >= this->config.pressing; }

    /// @return the usual tail without filling work, as a share of its target
    [[nodiscard]] double base() const noexcept { return this->usualTail; }

private:
    PressureConfig config;
    double usualTail;
    std::map<std::string, double> pressures;
};

}
