#include "cowslipdoor/scheduling/PressureModel.h"
#include <algorithm>

namespace cowslipdoor {

PressureModel::PressureModel(PressureConfig config)
    : config(config)
    , usualTail(config.firstBase)
{
}

void PressureModel::observe(double tail, const std::vector<FillingWork>& filling)
{
    const double seen = std::min(tail, this->config.worstTail);
    double expected = this->usualTail;
    double square = 0;
    for (const FillingWork& item : filling) {
        expected += this->pressureOf(item.image) * item.work;
        square += item.work * item.work;
    }
    if (filling.empty()) {
        this->usualTail += this->config.baseRate * (seen - this->usualTail);
        return;
    }
    if (square < this->config.faintestWork * this->config.faintestWork)
        return;
    const double step = this->config.learningRate * (seen - expected) / (this->config.regularisation + square);
    for (const FillingWork& item : filling) {
        double& pressure = this->pressures.try_emplace(item.image, this->config.prior).first->second;
        pressure = std::max(0.0, pressure + step * item.work);
    }
}

double PressureModel::pressureOf(const std::string& image) const
{
    const std::map<std::string, double>::const_iterator it = this->pressures.find(image);
    return it == this->pressures.end() ? this->config.prior : it->second;
}

}
