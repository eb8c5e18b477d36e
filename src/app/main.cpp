#include <filberthub/app/commands.hpp>

#include <QtCore/QCoreApplication>

int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    return filberthub::run_command({argv + 1, argv + argc});
}
